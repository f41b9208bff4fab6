package simulator

import (
	"time"
)

// Model is how a model engine behaves.
type Model struct {
	Slots  int
	Memory int
	// Stride is the number of tokens in one event.
	Stride int
	// StepTime is how long a step takes that makes one token for each run, SlotTime what each run adds to it.
	StepTime time.Duration
	SlotTime time.Duration
	// ReadSpeed is the number of prompt tokens read in a second.
	PrefillSpeed float64
	// SwitchTime is how long a change of the stage takes, HoldTime how long a hold lasts.
	SwitchTime time.Duration
	HoldTime   time.Duration
}

// run is a generation at an engine.
type run struct {
	*request
	generated float64
	reported  float64
	// pacedAt is when the last event of the run was told of.
	reportedAt    time.Time
	hasFirstEvent bool
}

func (r *run) memory() float64 { return float64(r.Prompt) + r.generated }

// engine generates or reads prompts.
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
	// version changes with the runs; what was planned by an older one is void.
	version int
	// readUntil is when the last prompt will have been read.
	prefillUntil time.Time
	// stalled is until when runs make nothing, because a prompt is read.
	stalledUntil time.Time
	sim          *simulation
}

// rate returns the tokens that each run makes in a second.
func (e *engine) tokenRate() float64 {
	step := e.model.StepTime + time.Duration(len(e.runs))*e.model.SlotTime
	return 1 / (step.Seconds() * e.slowdown)
}

// advance brings the runs up to now.
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

// hold reserves a slot and memory.
func (e *engine) hold(id string, tokens int) bool {
	e.advance()
	if e.isLost || e.isChangingStage || e.isPrefill || len(e.runs)+len(e.holds) >= e.model.Slots || e.usedMemory()+float64(tokens) > float64(e.model.Memory) {
		return false
	}
	e.holds[id] = tokens
	e.clock.after(e.model.HoldTime, func() { delete(e.holds, id) })
	return true
}

// read reads a prompt after those that came before, and calls done.
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

// planned counts a prompt that is on its way, for a scheduler that knows of it.
func (e *engine) planPrefill(now time.Time, q *request) {
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(e.sim.prefillTime(q.Prompt))
	q.isPrefillPlanned = true
}

// generate begins a run, in place of its hold if it has one.
func (e *engine) startRun(q *request) bool {
	e.advance()
	_, held := e.holds[q.ID]
	delete(e.holds, q.ID)
	if e.isLost || e.isPrefill || (e.isChangingStage && !held) || len(e.runs) >= e.model.Slots ||
		(!held && e.usedMemory()+float64(q.Prompt) > float64(e.model.Memory)) {
		return false
	}
	e.runs = append(e.runs, &run{request: q, reportedAt: e.clock.now})
	e.scheduleNext()
	return true
}

// readOwn has the engine read a prompt itself, while its runs wait.
func (e *engine) prefillLocally(tokens int) {
	e.advance()
	if e.stalledUntil.Before(e.clock.now) {
		e.stalledUntil = e.clock.now
	}
	e.stalledUntil = e.stalledUntil.Add(time.Duration(float64(tokens) / e.model.PrefillSpeed * e.slowdown * float64(time.Second)))
	e.scheduleNext()
}

// replan works out when the next thing happens to the runs: an event, an end, or more memory than there is.
func (e *engine) scheduleNext() {
	e.version++
	version := e.version
	if len(e.runs) == 0 || e.isLost {
		return
	}
	next := float64(e.model.Stride)
	for _, r := range e.runs {
		next = min(next, float64(r.output)-r.generated, r.reported+float64(e.model.Stride)-r.generated)
	}
	if room := (float64(e.model.Memory) - e.usedMemory()) / float64(len(e.runs)); room > 0 {
		next = min(next, room)
	}
	wait := time.Duration(max(next, 0.01) / e.tokenRate() * float64(time.Second))
	if e.stalledUntil.After(e.clock.now) {
		wait += e.stalledUntil.Sub(e.clock.now)
	}
	e.clock.after(wait, func() {
		if e.version == version && !e.isLost {
			e.processRuns()
		}
	})
}

// happen ends runs that are done, tells of events, and puts the newest run back if memory is short.
func (e *engine) processRuns() {
	e.advance()
	const whole = 0.05 // of a token, for the rounding of times
	var left []*run
	for _, r := range e.runs {
		if r.generated >= float64(r.output)-whole {
			e.sim.complete(r)
			continue
		}
		left = append(left, r)
		if r.generated >= r.reported+float64(e.model.Stride)-whole {
			r.reported += float64(e.model.Stride)
			e.sim.recordOutput(r)
		}
	}
	e.runs = left
	for len(e.runs) > 1 && e.usedMemory() > float64(e.model.Memory)+whole {
		newest := e.runs[len(e.runs)-1]
		e.runs = e.runs[:len(e.runs)-1]
		e.sim.result.Preempted++
		e.sim.result.WastedTokens += newest.Prompt
		e.clock.after(preemptionRetryInterval, func() { e.resume(newest) })
	}
	e.scheduleNext()
}

// requeue is how long a run waits that was put back before it is tried again.
const preemptionRetryInterval = 100 * time.Millisecond

// again reads the prompt of a run anew and goes on with it.
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

// lose ends the engine with all that runs there.
func (e *engine) fail() {
	e.isLost = true
	for _, r := range e.runs {
		e.sim.failRequest(r.request)
	}
	e.runs = nil
}

// change has the engine change its stage, once what runs there has ended.
func (e *engine) changeStage(reads bool) {
	if e.isLost || e.isChangingStage {
		return
	}
	e.isChangingStage = true
	e.awaitIdle(reads)
}

func (e *engine) awaitIdle(reads bool) {
	if len(e.runs)+len(e.holds) > 0 || e.prefillUntil.After(e.clock.now) {
		e.clock.after(planInterval, func() { e.awaitIdle(reads) })
		return
	}
	e.clock.after(e.model.SwitchTime, func() { e.isChangingStage, e.isPrefill = false, reads })
}
