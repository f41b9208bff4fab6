package simulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/stageswitcher"
)

// policy makes the scheduling decisions for a service and is notified of what becomes of them.
type policy interface {
	recordArrival(now time.Time, q *request)
	// plan returns placements and refusals for waiting requests.
	plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal)
	// holdTokens returns the tokens to hold at the decode engine for a request, 0 for none.
	holdTokens(q *request) int
	balance(now time.Time) (engines []string, toPrefill bool)
	recordHold(now time.Time, p placer.Placement, ok bool)
	recordPrefill(now time.Time, p placer.Placement, ok bool)
	recordFirstEvent(now time.Time, id string)
	recordOutput(now time.Time, id string, output int, elapsed time.Duration)
	recordCompletion(now time.Time, id string, output int)
	recordFailure(now time.Time, id string)
	// retriesFailed reports whether a request whose placement failed is queued again. Otherwise it is refused.
	retriesFailed() bool
}

// owner uses the placement code that the owner of a service runs.
type owner struct {
	sim    *simulation
	placer *placer.Placer
	// isSplitFixed turns moves of engines between prefill and decode off.
	isSplitFixed bool
}

// Owner returns the policy that the owner of a service uses.
func Owner(s *simulation) policy { return newOwner(s, false) }

// OwnerFixedSplit returns the policy of the owner without moves of engines between prefill and decode.
func OwnerFixedSplit(s *simulation) policy { return newOwner(s, true) }

func newOwner(s *simulation, isSplitFixed bool) policy {
	return &owner{sim: s, placer: placer.New(rand.New(rand.NewPCG(s.Seed, 2))), isSplitFixed: isSplitFixed}
}

func (o *owner) recordArrival(now time.Time, q *request) {
	q.Request = o.placer.RecordArrival(now, q.Request)
}

func (o *owner) updateEngines() {
	m := o.sim.Model
	o.placer.Update(matcher.Engine{
		Slots: m.Slots, Memory: m.Memory, Stride: m.Stride, SwitchTime: m.SwitchTime, MaxHold: m.HoldTime,
	}, o.sim.engineList())
}

func (o *owner) plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal) {
	o.updateEngines()
	list := make([]placer.Request, 0, len(waiting))
	for _, q := range waiting {
		list = append(list, q.Request)
	}
	plan := o.placer.Plan(now, list)
	return plan.Placements, plan.Refusals
}

func (o *owner) holdTokens(q *request) int { return o.placer.HoldTokens(q.Request) }

func (o *owner) balance(now time.Time) ([]string, bool) {
	if o.isSplitFixed || now.Sub(startTime) < placer.WarmUp {
		return nil, false
	}
	o.updateEngines()
	moves := o.placer.Balance(now, stageswitcher.MaxOrderDelay)
	return moves.Engines, moves.IsPrefill
}

func (o *owner) recordHold(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		o.placer.RecordHoldFailure(now, p, true)
		return
	}
	o.placer.RecordHold(now)
}

func (o *owner) recordPrefill(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		o.placer.RecordPrefillFailure(now, p.ID, p.PrefillEngine, true)
		return
	}
	o.placer.RecordPrefill(now, p.ID)
}

func (o *owner) recordFirstEvent(now time.Time, id string) { o.placer.RecordFirstEvent(now, id) }

func (o *owner) recordOutput(now time.Time, id string, output int, elapsed time.Duration) {
	o.placer.RecordOutput(now, id, output, elapsed)
}

func (o *owner) recordCompletion(now time.Time, id string, output int) {
	o.placer.RecordCompletion(now, id, output)
}

func (o *owner) recordFailure(now time.Time, id string) { o.placer.RecordFailure(now, id) }

func (o *owner) retriesFailed() bool { return true }

// baseline is the common part of the policies for comparison. It counts the requests in flight at each engine and learns
// nothing from past requests.
type baseline struct {
	sim        *simulation
	inFlight   map[string]int
	placements map[string]placer.Placement
}

func newBaseline(s *simulation) baseline {
	return baseline{sim: s, inFlight: make(map[string]int), placements: make(map[string]placer.Placement)}
}

func (b *baseline) recordArrival(time.Time, *request)                  {}
func (b *baseline) balance(time.Time) ([]string, bool)                 { return nil, false }
func (b *baseline) recordFirstEvent(time.Time, string)                 {}
func (b *baseline) recordOutput(time.Time, string, int, time.Duration) {}
func (b *baseline) recordCompletion(_ time.Time, id string, _ int)     { b.remove(id) }
func (b *baseline) recordFailure(_ time.Time, id string)               { b.remove(id) }
func (b *baseline) recordPrefill(_ time.Time, p placer.Placement, _ bool) {
	b.inFlight[p.PrefillEngine]--
}
func (b *baseline) retriesFailed() bool { return true }
func (b *baseline) recordHold(_ time.Time, p placer.Placement, ok bool) {
	if !ok {
		b.remove(p.ID)
		b.inFlight[p.PrefillEngine]--
	}
}

func (b *baseline) remove(id string) {
	if p, ok := b.placements[id]; ok {
		b.inFlight[p.DecodeEngine]--
		delete(b.placements, id)
	}
}

// leastLoaded returns the engine of a stage with the fewest requests in flight for which isFree holds, or nil.
func (b *baseline) leastLoaded(isPrefill bool, isFree func(*engine) bool) *engine {
	var best *engine
	for _, e := range b.sim.engines {
		if e.isLost || e.isChangingStage || e.isPrefill != isPrefill || !isFree(e) {
			continue
		}
		if best == nil || b.inFlight[e.id] < b.inFlight[best.id] {
			best = e
		}
	}
	return best
}

func (b *baseline) place(q *request, e, r *engine) placer.Placement {
	p := placer.Placement{ID: q.ID, DecodeEngine: e.id, PrefillEngine: r.id}
	b.inFlight[e.id]++
	b.inFlight[r.id]++
	b.placements[q.ID] = p
	return p
}

func anyEngine(*engine) bool { return true }

// naive places each request at once, on the engines with the fewest requests in flight.
type naive struct{ baseline }

// Naive returns the policy of a forwarder that takes no account of memory.
func Naive(s *simulation) policy { return &naive{newBaseline(s)} }

func (n *naive) plan(_ time.Time, waiting []*request) (placements []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		e, r := n.leastLoaded(false, anyEngine), n.leastLoaded(true, anyEngine)
		if e == nil || r == nil {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: retryAfter})
			continue
		}
		placements = append(placements, n.place(q, e, r))
	}
	return placements, refusals
}

func (n *naive) holdTokens(*request) int { return 0 }

func (n *naive) retriesFailed() bool { return false }

// fullReservation reserves memory for the maximum output of each request. Requests that do not fit wait in order of
// arrival.
type fullReservation struct {
	baseline
	reserved map[string]int
}

// FullReservation returns the policy of a queue that never overcommits memory.
func FullReservation(s *simulation) policy {
	return &fullReservation{newBaseline(s), make(map[string]int)}
}

func (f *fullReservation) plan(now time.Time, waiting []*request) (placements []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		if q.IsExpired(now) {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: retryAfter})
			continue
		}
		e := f.leastLoaded(false, func(e *engine) bool { return f.reserved[e.id]+f.holdTokens(q) <= e.model.Memory })
		r := f.leastLoaded(true, func(e *engine) bool { return e.prefillUntil.Sub(now) < maxPrefillBacklog })
		if e != nil && r != nil {
			placements = append(placements, f.place(q, e, r))
			f.reserved[e.id] += f.holdTokens(q)
		}
	}
	return placements, refusals
}

// maxPrefillBacklog is the backlog of a prefill engine from which it gets no further prompts.
const maxPrefillBacklog = 150 * time.Millisecond

func (f *fullReservation) holdTokens(q *request) int { return q.Prompt + q.MaxOutput }

func (f *fullReservation) recordCompletion(_ time.Time, id string, _ int) { f.release(id) }

func (f *fullReservation) recordFailure(_ time.Time, id string) { f.release(id) }

func (f *fullReservation) recordHold(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		f.reserved[p.DecodeEngine] -= f.holdTokens(f.sim.requests[p.ID])
	}
	f.baseline.recordHold(now, p, ok)
}

func (f *fullReservation) release(id string) {
	if p, ok := f.placements[id]; ok {
		f.reserved[p.DecodeEngine] -= f.holdTokens(f.sim.requests[id])
	}
	f.remove(id)
}

// oracle knows the current state of the engines and the length of each output.
type oracle struct {
	baseline
	// smallestFirst orders requests by their use of memory over time, otherwise they are ordered by their target start.
	smallestFirst bool
}

// LeastTimeFirst returns an oracle scheduler that serves the requests with the least time left first.
func LeastTimeFirst(s *simulation) policy { return &oracle{baseline: newBaseline(s)} }

// SmallestFirst returns an oracle scheduler that serves the requests with the least use of memory over time first.
func SmallestFirst(s *simulation) policy {
	return &oracle{baseline: newBaseline(s), smallestFirst: true}
}

func (o *oracle) holdTokens(q *request) int { return q.Prompt + o.sim.Model.Stride }

func (o *oracle) plan(now time.Time, waiting []*request) (placements []placer.Placement, refusals []placer.Refusal) {
	list := slices.Clone(waiting)
	slices.SortStableFunc(list, func(a, b *request) int {
		if a.IsLate(now) != b.IsLate(now) {
			if a.IsLate(now) {
				return 1
			}
			return -1
		}
		if o.smallestFirst {
			return cmp.Compare(a.memoryTime(), b.memoryTime())
		}
		return a.TargetStart.Compare(b.TargetStart)
	})
	misses := 0
	expected := o.expectedRuns()
	for _, q := range list {
		if q.IsExpired(now) {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: retryAfter})
			continue
		}
		if misses > maxMisses {
			continue
		}
		r := o.earliestPrefillEngine()
		if r == nil || r.prefillUntil.Sub(now) > maxPrefillBacklog {
			break
		}
		if !q.IsLate(now) && o.firstEventTime(now, r, q).After(q.FirstEventDeadline) {
			continue // would be late
		}
		e := o.leastLoaded(false, func(e *engine) bool { return hasMemoryFor(e, expected[e.id], q) })
		if e == nil {
			misses++
			continue
		}
		placements = append(placements, o.place(q, e, r))
		expected[e.id] = append(expected[e.id], run{request: q})
		r.planPrefill(now, q)
	}
	return placements, refusals
}

// maxMemoryShare is the share of memory that the oracle fills, because runs begin a little later than it computes.
const maxMemoryShare = 0.98

// earliestPrefillEngine returns the prefill engine that is free first, or nil.
func (o *oracle) earliestPrefillEngine() *engine {
	var best *engine
	for _, e := range o.sim.engines {
		if e.isPrefill && !e.isLost && !e.isChangingStage && (best == nil || e.prefillUntil.Before(best.prefillUntil)) {
			best = e
		}
	}
	return best
}

// firstEventTime returns when the first event of q would arrive with its prefill at r.
func (o *oracle) firstEventTime(now time.Time, r *engine, q *request) time.Time {
	begin := now
	if r.prefillUntil.After(begin) {
		begin = r.prefillUntil
	}
	fill := time.Duration(o.sim.Model.Stride) * (o.sim.Model.StepTime + time.Duration(o.sim.Model.Slots/2)*o.sim.Model.SlotTime)
	return begin.Add(o.sim.prefillTime(q.Prompt) + 4*o.sim.HopLatency + fill)
}

// maxMisses bounds the requests per plan that are checked without finding an engine with enough memory.
const maxMisses = 20

// memoryTime returns the memory of a generation integrated over its output tokens.
func (r *request) memoryTime() float64 {
	return (float64(r.Prompt) + float64(r.output)/2) * float64(r.output)
}

// expectedRuns returns the current runs of each engine and the runs placed there that have not begun.
func (o *oracle) expectedRuns() map[string][]run {
	expected := make(map[string][]run, len(o.sim.engines))
	isRunning := make(map[string]bool)
	for _, e := range o.sim.engines {
		e.advance()
		for _, r := range e.runs {
			expected[e.id] = append(expected[e.id], *r)
			isRunning[r.ID] = true
		}
	}
	for id, p := range o.placements {
		if !isRunning[id] {
			expected[p.DecodeEngine] = append(expected[p.DecodeEngine], run{request: o.sim.requests[id]})
		}
	}
	return expected
}

// hasMemoryFor reports whether an engine has a slot, and enough memory for q until all expected runs have ended.
func hasMemoryFor(e *engine, expected []run, q *request) bool {
	if len(expected) >= e.model.Slots {
		return false
	}
	limit := maxMemoryShare * float64(e.model.Memory)
	if memoryAt(expected, q, 0) > limit || memoryAt(expected, q, float64(q.output)) > limit {
		return false
	}
	for _, r := range expected {
		if memoryAt(expected, q, float64(r.output)-r.generated) > limit {
			return false
		}
	}
	return true
}

// memoryAt returns the memory in use once each run, and q, has generated further tokens. Runs that have ended by then use
// none.
func memoryAt(expected []run, q *request, further float64) float64 {
	total := 0.0
	if further <= float64(q.output) {
		total = float64(q.Prompt) + further
	}
	for i := range expected {
		if r := &expected[i]; r.generated+further <= float64(r.output) {
			total += r.memory() + further
		}
	}
	return total
}
