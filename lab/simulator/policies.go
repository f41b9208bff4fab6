package simulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/conductor"
)

// policy decides for the home of the service.
type policy interface {
	recordArrival(now time.Time, q *request)
	// plan returns places and refusals for those who wait.
	plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal)
	// hold returns the tokens to reserve for a request, 0 for none.
	holdTokens(q *request) int
	balance(now time.Time) (engines []string, reads bool)
	recordHold(now time.Time, p placer.Placement, ok bool)
	recordPrefill(now time.Time, p placer.Placement, ok bool)
	recordFirstEvent(now time.Time, id string)
	recordOutput(now time.Time, id string, output int, took time.Duration)
	recordCompletion(now time.Time, id string, output int)
	recordFailure(now time.Time, id string)
	// goesOn tells whether a request whose place came to nothing waits for another one.
	retriesFailed() bool
}

// home decides as a service's home does.
type owner struct {
	sim    *simulation
	placer *placer.Placer
	// fixed has the split of engines left as it is.
	isSplitFixed bool
}

// Home plays the decisions of a service's home.
func Owner(s *simulation) policy { return newOwner(s, false) }

// Fixed plays them without moves of engines.
func OwnerFixedSplit(s *simulation) policy { return newOwner(s, true) }

func newOwner(s *simulation, fixed bool) policy {
	return &owner{sim: s, placer: placer.New(rand.New(rand.NewPCG(s.Seed, 2))), isSplitFixed: fixed}
}

func (h *owner) recordArrival(now time.Time, q *request) {
	q.Request = h.placer.RecordArrival(now, q.Request)
}

func (h *owner) updateEngines() {
	m := h.sim.Model
	h.placer.Update(matcher.Engine{
		Slots: m.Slots, Memory: m.Memory, Stride: m.Stride, SwitchTime: m.SwitchTime, MaxHold: m.HoldTime,
	}, h.sim.engineList())
}

func (h *owner) plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal) {
	h.updateEngines()
	list := make([]placer.Request, 0, len(waiting))
	for _, q := range waiting {
		list = append(list, q.Request)
	}
	plan := h.placer.Plan(now, list)
	return plan.Placements, plan.Refusals
}

func (h *owner) holdTokens(q *request) int { return h.placer.HoldTokens(q.Request) }

func (h *owner) balance(now time.Time) ([]string, bool) {
	if h.isSplitFixed || now.Sub(startTime) < placer.WarmUp {
		return nil, false
	}
	h.updateEngines()
	moves := h.placer.Balance(now, conductor.MaxOrderDelay)
	return moves.Engines, moves.IsPrefill
}

func (h *owner) recordHold(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		h.placer.RecordHoldFailure(now, p, true)
		return
	}
	h.placer.RecordHold(now)
}

func (h *owner) recordPrefill(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		h.placer.RecordPrefillFailure(now, p.ID, p.PrefillEngine, true)
		return
	}
	h.placer.RecordPrefill(now, p.ID)
}

func (h *owner) recordFirstEvent(now time.Time, id string) { h.placer.RecordFirstEvent(now, id) }

func (h *owner) recordOutput(now time.Time, id string, output int, took time.Duration) {
	h.placer.RecordOutput(now, id, output, took)
}

func (h *owner) recordCompletion(now time.Time, id string, output int) {
	h.placer.RecordCompletion(now, id, output)
}

func (h *owner) recordFailure(now time.Time, id string) { h.placer.RecordFailure(now, id) }

func (h *owner) retriesFailed() bool { return true }

// counter is what the policies to compare with have in common: numbers in flight, and nothing learned.
type baseline struct {
	sim        *simulation
	inFlight   map[string]int
	placements map[string]placer.Placement
}

func newBaseline(s *simulation) baseline {
	return baseline{sim: s, inFlight: make(map[string]int), placements: make(map[string]placer.Placement)}
}

func (c *baseline) recordArrival(time.Time, *request)                  {}
func (c *baseline) balance(time.Time) ([]string, bool)                 { return nil, false }
func (c *baseline) recordFirstEvent(time.Time, string)                 {}
func (c *baseline) recordOutput(time.Time, string, int, time.Duration) {}
func (c *baseline) recordCompletion(_ time.Time, id string, _ int)     { c.remove(id) }
func (c *baseline) recordFailure(_ time.Time, id string)               { c.remove(id) }
func (c *baseline) recordPrefill(_ time.Time, p placer.Placement, _ bool) {
	c.inFlight[p.PrefillEngine]--
}
func (c *baseline) retriesFailed() bool { return true }
func (c *baseline) recordHold(_ time.Time, p placer.Placement, ok bool) {
	if !ok {
		c.remove(p.ID)
		c.inFlight[p.PrefillEngine]--
	}
}

func (c *baseline) remove(id string) {
	if p, ok := c.placements[id]; ok {
		c.inFlight[p.DecodeEngine]--
		delete(c.placements, id)
	}
}

// least returns the engine of a stage with the least in flight that isFree.
func (c *baseline) leastLoaded(reads bool, isFree func(*engine) bool) *engine {
	var best *engine
	for _, e := range c.sim.engines {
		if e.isLost || e.isChangingStage || e.isPrefill != reads || !isFree(e) {
			continue
		}
		if best == nil || c.inFlight[e.id] < c.inFlight[best.id] {
			best = e
		}
	}
	return best
}

func (c *baseline) place(q *request, e, r *engine) placer.Placement {
	p := placer.Placement{ID: q.ID, DecodeEngine: e.id, PrefillEngine: r.id}
	c.inFlight[e.id]++
	c.inFlight[r.id]++
	c.placements[q.ID] = p
	return p
}

func anyEngine(*engine) bool { return true }

// naive sends each request on at once, to the engines with the least in flight.
type naive struct{ baseline }

// Naive plays a forwarder that knows nothing of memory.
func Naive(s *simulation) policy { return &naive{newBaseline(s)} }

func (n *naive) plan(_ time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		e, r := n.leastLoaded(false, anyEngine), n.leastLoaded(true, anyEngine)
		if e == nil || r == nil {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: retryAfter})
			continue
		}
		places = append(places, n.place(q, e, r))
	}
	return places, refusals
}

func (n *naive) holdTokens(*request) int { return 0 }

func (n *naive) retriesFailed() bool { return false }

// full reserves the longest output of each request and has the others wait in the order they came.
type fullReservation struct {
	baseline
	reserved map[string]int
}

// Full plays a queue that never overcommits memory.
func FullReservation(s *simulation) policy {
	return &fullReservation{newBaseline(s), make(map[string]int)}
}

func (f *fullReservation) plan(now time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		if q.IsExpired(now) {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: retryAfter})
			continue
		}
		e := f.leastLoaded(false, func(e *engine) bool { return f.reserved[e.id]+f.holdTokens(q) <= e.model.Memory })
		r := f.leastLoaded(true, func(e *engine) bool { return e.prefillUntil.Sub(now) < maxPrefillBacklog })
		if e != nil && r != nil {
			places = append(places, f.place(q, e, r))
			f.reserved[e.id] += f.holdTokens(q)
		}
	}
	return places, refusals
}

// readerWindow is how much work a reading engine may have before others wait.
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

// oracle knows the engines as they are and how long each output will be.
type oracle struct {
	baseline
	// shortest has requests with the least use of memory go first, else those with the least time left.
	smallestFirst bool
}

// Earliest plays an all-knowing scheduler that serves those first who have the least time left.
func LeastTimeFirst(s *simulation) policy { return &oracle{baseline: newBaseline(s)} }

// Shortest plays an all-knowing scheduler that serves those first who use the least memory for the least time.
func SmallestFirst(s *simulation) policy {
	return &oracle{baseline: newBaseline(s), smallestFirst: true}
}

func (o *oracle) holdTokens(q *request) int { return q.Prompt + o.sim.Model.Stride }

func (o *oracle) plan(now time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
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
			continue // late by now
		}
		e := o.leastLoaded(false, func(e *engine) bool { return hasMemoryFor(e, expected[e.id], q) })
		if e == nil {
			misses++
			continue
		}
		places = append(places, o.place(q, e, r))
		expected[e.id] = append(expected[e.id], run{request: q})
		r.planPrefill(now, q)
	}
	return places, refusals
}

// spare is the part of the memory that an all-knowing scheduler fills: runs begin a little later than it reckons.
const maxMemoryShare = 0.98

// soonest returns the reading engine that is free first.
func (o *oracle) earliestPrefillEngine() *engine {
	var best *engine
	for _, e := range o.sim.engines {
		if e.isPrefill && !e.isLost && !e.isChangingStage && (best == nil || e.prefillUntil.Before(best.prefillUntil)) {
			best = e
		}
	}
	return best
}

// first returns when the first event of a request comes.
func (o *oracle) firstEventTime(now time.Time, r *engine, q *request) time.Time {
	begin := now
	if r.prefillUntil.After(begin) {
		begin = r.prefillUntil
	}
	fill := time.Duration(o.sim.Model.Stride) * (o.sim.Model.StepTime + time.Duration(o.sim.Model.Slots/2)*o.sim.Model.SlotTime)
	return begin.Add(o.sim.prefillTime(q.Prompt) + 4*o.sim.HopLatency + fill)
}

// mostMisses bounds the requests that are compared with full engines at one look.
const maxMisses = 20

// use is the memory of a generation times the tokens during which it is used.
func (q *request) memoryTime() float64 {
	return (float64(q.Prompt) + float64(q.output)/2) * float64(q.output)
}

// expected returns what runs at each engine and what is on its way there.
func (o *oracle) expectedRuns() map[string][]run {
	expected := make(map[string][]run, len(o.sim.engines))
	here := make(map[string]bool)
	for _, e := range o.sim.engines {
		e.advance()
		for _, r := range e.runs {
			expected[e.id] = append(expected[e.id], *r)
			here[r.ID] = true
		}
	}
	for id, p := range o.placements {
		if !here[id] {
			expected[p.DecodeEngine] = append(expected[p.DecodeEngine], run{request: o.sim.requests[id]})
		}
	}
	return expected
}

// fits tells whether an engine has memory for q until all that is expected there has ended.
func hasMemoryFor(e *engine, expected []run, q *request) bool {
	if len(expected) >= e.model.Slots {
		return false
	}
	most := maxMemoryShare * float64(e.model.Memory)
	if memoryAt(expected, q, 0) > most || memoryAt(expected, q, float64(q.output)) > most {
		return false
	}
	for _, r := range expected {
		if memoryAt(expected, q, float64(r.output)-r.generated) > most {
			return false
		}
	}
	return true
}

// at returns the memory in use once each run, and q, has made further tokens.
func memoryAt(expected []run, q *request, made float64) float64 {
	total := 0.0
	if made <= float64(q.output) {
		total = float64(q.Prompt) + made
	}
	for i := range expected {
		if r := &expected[i]; r.generated+made <= float64(r.output) {
			total += r.memory() + made
		}
	}
	return total
}
