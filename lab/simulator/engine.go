package simulator

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
)

// Model describes the capacity and speed of a model engine. Memory is in tokens.
type Model struct {
	Slots  int
	Memory int
	// Stride is the number of tokens in one event.
	Stride int
	// A step generates one token for each run. It takes StepTime, and SlotTime more for each run.
	StepTime time.Duration
	SlotTime time.Duration
	// PrefillSpeed is in prompt tokens per second.
	PrefillSpeed float64
	// SwitchTime is the duration of a change of stage, HoldTime that of a hold.
	SwitchTime time.Duration
	HoldTime   time.Duration
}

// run is a generation at an engine. generated and reported count tokens; reported ones were sent in events.
type run struct {
	*request
	generated float64
	reported  float64
	// reportedAt is the time of the last event.
	reportedAt    time.Time
	hasFirstEvent bool
}

func (r *run) memory() float64 { return float64(r.Prompt) + r.generated }

// engine is a simulated model engine for one stage, prefill or decode.
type engine struct {
	id              string
	dataCentre      string
	model           Model
	clock           *clock
	isPrefill       bool
	isChangingStage bool
	isLost          bool
	slowdown        float64
	runs            []*run
	holds           map[string]int
	updatedAt       time.Time
	// version increases with each change of the runs. Callbacks scheduled for an older version do nothing.
	version int
	// prefillUntil is when the prefill of the last prompt will end.
	prefillUntil time.Time
	// stalledUntil is when runs continue that are stalled by the prefill of a prompt.
	stalledUntil time.Time
	// cache holds the parts of prompts that the engine has cached. It is nil in scenarios without shared parts.
	cache *cachetracker.Tracker
	sim   *simulation
}

// incarnation returns the identity of the engine in caches. Engines do not restart in simulations.
func (e *engine) incarnation() cachetracker.Incarnation {
	return cachetracker.Incarnation{Engine: e.id}
}

// tokensToPrefill returns the tokens of a prompt that are not cached, and caches the prompt.
func (e *engine) tokensToPrefill(q *request) int {
	if e.cache == nil {
		return q.Prompt
	}
	cached := min(e.cache.Held(e.incarnation(), q.Parts), q.Prompt)
	e.cache.RecordPrefill(e.incarnation(), q.Parts, q.Prompt-cachetracker.Tokens(q.Parts))
	e.sim.result.PromptTokens += q.Prompt
	e.sim.result.CachedTokens += cached
	return q.Prompt - cached
}

// tokenRate returns the tokens per second of each run.
func (e *engine) tokenRate() float64 {
	step := e.model.StepTime + time.Duration(len(e.runs))*e.model.SlotTime
	return 1 / (step.Seconds() * e.slowdown)
}

// advance updates the generated tokens of the runs to the current time.
func (e *engine) advance() {
	from := e.updatedAt
	if e.stalledUntil.After(from) {
		from = e.stalledUntil
	}
	if passed := e.clock.now.Sub(from).Seconds(); passed > 0 {
		for _, r := range e.runs {
			r.generated = min(r.generated+passed*e.tokenRate(), float64(r.output))
		}
	}
	e.updatedAt = e.clock.now
}

func (e *engine) usedMemory() float64 {
	total := 0.0
	for _, r := range e.runs {
		total += r.memory()
	}
	for _, tokens := range e.holds {
		total += float64(tokens)
	}
	return total
}

// hold reserves a slot and memory for HoldTime and reports whether there was room.
func (e *engine) hold(id string, tokens int) bool {
	e.advance()
	if e.isLost || e.isChangingStage || e.isPrefill || len(e.runs)+len(e.holds) >= e.model.Slots || e.usedMemory()+float64(tokens) > float64(e.model.Memory) {
		return false
	}
	e.holds[id] = tokens
	e.clock.after(e.model.HoldTime, func() { delete(e.holds, id) })
	return true
}

// prefill processes a prompt after those queued before it, then calls done.
func (e *engine) prefill(tokens int, isPlanned bool, done func(ok bool)) {
	if e.isLost || e.isChangingStage || !e.isPrefill {
		done(false)
		return
	}
	if !isPlanned {
		if e.prefillUntil.Before(e.clock.now) {
			e.prefillUntil = e.clock.now
		}
		e.prefillUntil = e.prefillUntil.Add(time.Duration(float64(e.sim.prefillTime(tokens)) * e.slowdown))
	}
	e.clock.after(e.prefillUntil.Sub(e.clock.now), func() { done(!e.isLost) })
}

// planPrefill adds a prompt to the backlog when it is placed, before it arrives, so that the oracle scheduler can count it.
func (e *engine) planPrefill(now time.Time, q *request) {
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(e.sim.prefillTime(q.Prompt))
	q.isPrefillPlanned = true
}

// startRun begins a run, replacing the hold of the request if there is one, and reports whether there was room.
func (e *engine) startRun(q *request) bool {
	e.advance()
	_, hasHold := e.holds[q.ID]
	delete(e.holds, q.ID)
	if e.isLost || e.isPrefill || (e.isChangingStage && !hasHold) || len(e.runs) >= e.model.Slots ||
		(!hasHold && e.usedMemory()+float64(q.Prompt) > float64(e.model.Memory)) {
		return false
	}
	e.runs = append(e.runs, &run{request: q, reportedAt: e.clock.now})
	e.scheduleNext()
	return true
}

// prefillLocally processes a prompt on a decode engine, which stalls its runs.
func (e *engine) prefillLocally(tokens int) {
	e.advance()
	if e.stalledUntil.Before(e.clock.now) {
		e.stalledUntil = e.clock.now
	}
	e.stalledUntil = e.stalledUntil.Add(time.Duration(float64(tokens) / e.model.PrefillSpeed * e.slowdown * float64(time.Second)))
	e.scheduleNext()
}

// scheduleNext schedules processRuns for the next event, the next end of a run, or when memory runs out.
func (e *engine) scheduleNext() {
	e.version++
	version := e.version
	if len(e.runs) == 0 || e.isLost {
		return
	}
	tokens := float64(e.model.Stride)
	for _, r := range e.runs {
		tokens = min(tokens, float64(r.output)-r.generated, r.reported+float64(e.model.Stride)-r.generated)
	}
	if free := (float64(e.model.Memory) - e.usedMemory()) / float64(len(e.runs)); free > 0 {
		tokens = min(tokens, free)
	}
	wait := time.Duration(max(tokens, 0.01) / e.tokenRate() * float64(time.Second))
	if e.stalledUntil.After(e.clock.now) {
		wait += e.stalledUntil.Sub(e.clock.now)
	}
	e.clock.after(wait, func() {
		if e.version == version && !e.isLost {
			e.processRuns()
		}
	})
}

// processRuns ends completed runs, reports events, and preempts the newest runs while memory is short.
func (e *engine) processRuns() {
	e.advance()
	const tolerance = 0.05 // of a token: times are rounded
	var remaining []*run
	for _, r := range e.runs {
		if r.generated >= float64(r.output)-tolerance {
			e.sim.complete(r)
			continue
		}
		remaining = append(remaining, r)
		if r.generated >= r.reported+float64(e.model.Stride)-tolerance {
			r.reported += float64(e.model.Stride)
			e.sim.recordOutput(r)
		}
	}
	e.runs = remaining
	for len(e.runs) > 1 && e.usedMemory() > float64(e.model.Memory)+tolerance {
		newest := e.runs[len(e.runs)-1]
		e.runs = e.runs[:len(e.runs)-1]
		e.sim.result.Preempted++
		e.sim.result.WastedTokens += newest.Prompt
		e.clock.after(preemptionRetryInterval, func() { e.resume(newest) })
	}
	e.scheduleNext()
}

// preemptionRetryInterval is the time between attempts to resume a preempted run.
const preemptionRetryInterval = 100 * time.Millisecond

// resume repeats the prefill of a preempted run and continues it, once there is room.
func (e *engine) resume(r *run) {
	if e.isLost {
		e.sim.failRequest(r.request)
		return
	}
	e.advance()
	if len(e.runs) >= e.model.Slots || e.usedMemory()+r.memory() > float64(e.model.Memory) {
		e.clock.after(preemptionRetryInterval, func() { e.resume(r) })
		return
	}
	e.prefillLocally(int(r.memory()))
	e.runs = append(e.runs, r)
	e.scheduleNext()
}

// fail ends the engine and all its runs.
func (e *engine) fail() {
	e.isLost = true
	for _, r := range e.runs {
		e.sim.failRequest(r.request)
	}
	e.runs = nil
}

// changeStage moves the engine to the other stage once its current work has ended.
func (e *engine) changeStage(toPrefill bool) {
	if e.isLost || e.isChangingStage {
		return
	}
	e.isChangingStage = true
	e.awaitIdle(toPrefill)
}

func (e *engine) awaitIdle(toPrefill bool) {
	if len(e.runs)+len(e.holds) > 0 || e.prefillUntil.After(e.clock.now) {
		e.clock.after(planInterval, func() { e.awaitIdle(toPrefill) })
		return
	}
	e.clock.after(e.model.SwitchTime, func() {
		e.isChangingStage, e.isPrefill = false, toPrefill
		e.sim.clearCache(e)
	})
}
