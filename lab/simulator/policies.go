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
	arrived(now time.Time, q *request)
	// plan returns places and refusals for those who wait.
	plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal)
	// hold returns the tokens to reserve for a request, 0 for none.
	hold(q *request) int
	balance(now time.Time) (engines []string, reads bool)
	held(now time.Time, p placer.Placement, ok bool)
	read(now time.Time, p placer.Placement, ok bool)
	began(now time.Time, id string)
	paced(now time.Time, id string, output int, took time.Duration)
	ended(now time.Time, id string, output int)
	failed(now time.Time, id string)
	// goesOn tells whether a request whose place came to nothing waits for another one.
	goesOn() bool
}

// home decides as a service's home does.
type home struct {
	day    *day
	placer *placer.Placer
	// fixed has the split of engines left as it is.
	fixed bool
}

// Home plays the decisions of a service's home.
func Home(s *day) policy { return newHome(s, false) }

// Fixed plays them without moves of engines.
func Fixed(s *day) policy { return newHome(s, true) }

func newHome(s *day, fixed bool) policy {
	return &home{day: s, placer: placer.New(rand.New(rand.NewPCG(s.Seed, 2))), fixed: fixed}
}

func (h *home) arrived(now time.Time, q *request) {
	q.Request = h.placer.RecordArrival(now, q.Request)
}

func (h *home) update() {
	m := h.day.Model
	h.placer.Update(matcher.Engine{
		Slots: m.Slots, Memory: m.Memory, Stride: m.Stride, SwitchTime: m.SwitchTime, MaxHold: m.HoldTime,
	}, h.day.list())
}

func (h *home) plan(now time.Time, waiting []*request) ([]placer.Placement, []placer.Refusal) {
	h.update()
	list := make([]placer.Request, 0, len(waiting))
	for _, q := range waiting {
		list = append(list, q.Request)
	}
	plan := h.placer.Plan(now, list)
	return plan.Placements, plan.Refusals
}

func (h *home) hold(q *request) int { return h.placer.HoldTokens(q.Request) }

func (h *home) balance(now time.Time) ([]string, bool) {
	if h.fixed || now.Sub(start) < placer.WarmUp {
		return nil, false
	}
	h.update()
	moves := h.placer.Balance(now, conductor.MaxOrderDelay)
	return moves.Engines, moves.IsPrefill
}

func (h *home) held(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		h.placer.RecordHoldFailure(now, p, true)
		return
	}
	h.placer.RecordHold(now)
}

func (h *home) read(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		h.placer.RecordPrefillFailure(now, p.ID, p.PrefillEngine, true)
		return
	}
	h.placer.RecordPrefill(now, p.ID)
}

func (h *home) began(now time.Time, id string) { h.placer.RecordFirstEvent(now, id) }

func (h *home) paced(now time.Time, id string, output int, took time.Duration) {
	h.placer.RecordOutput(now, id, output, took)
}

func (h *home) ended(now time.Time, id string, output int) {
	h.placer.RecordCompletion(now, id, output)
}

func (h *home) failed(now time.Time, id string) { h.placer.RecordFailure(now, id) }

func (h *home) goesOn() bool { return true }

// counter is what the policies to compare with have in common: numbers in flight, and nothing learned.
type counter struct {
	day    *day
	flying map[string]int
	placed map[string]placer.Placement
}

func newCounter(s *day) counter {
	return counter{day: s, flying: make(map[string]int), placed: make(map[string]placer.Placement)}
}

func (c *counter) arrived(time.Time, *request)                  {}
func (c *counter) balance(time.Time) ([]string, bool)           { return nil, false }
func (c *counter) began(time.Time, string)                      {}
func (c *counter) paced(time.Time, string, int, time.Duration)  {}
func (c *counter) ended(_ time.Time, id string, _ int)          { c.drop(id) }
func (c *counter) failed(_ time.Time, id string)                { c.drop(id) }
func (c *counter) read(_ time.Time, p placer.Placement, _ bool) { c.flying[p.PrefillEngine]-- }
func (c *counter) goesOn() bool                                 { return true }
func (c *counter) held(_ time.Time, p placer.Placement, ok bool) {
	if !ok {
		c.drop(p.ID)
		c.flying[p.PrefillEngine]--
	}
}

func (c *counter) drop(id string) {
	if p, ok := c.placed[id]; ok {
		c.flying[p.DecodeEngine]--
		delete(c.placed, id)
	}
}

// least returns the engine of a stage with the least in flight that isFree.
func (c *counter) least(reads bool, isFree func(*engine) bool) *engine {
	var best *engine
	for _, e := range c.day.engines {
		if e.lost || e.busy || e.reads != reads || !isFree(e) {
			continue
		}
		if best == nil || c.flying[e.id] < c.flying[best.id] {
			best = e
		}
	}
	return best
}

func (c *counter) place(q *request, e, r *engine) placer.Placement {
	p := placer.Placement{ID: q.ID, DecodeEngine: e.id, PrefillEngine: r.id}
	c.flying[e.id]++
	c.flying[r.id]++
	c.placed[q.ID] = p
	return p
}

func anyEngine(*engine) bool { return true }

// naive sends each request on at once, to the engines with the least in flight.
type naive struct{ counter }

// Naive plays a forwarder that knows nothing of memory.
func Naive(s *day) policy { return &naive{newCounter(s)} }

func (n *naive) plan(_ time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		e, r := n.least(false, anyEngine), n.least(true, anyEngine)
		if e == nil || r == nil {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: returnAfter})
			continue
		}
		places = append(places, n.place(q, e, r))
	}
	return places, refusals
}

func (n *naive) hold(*request) int { return 0 }

func (n *naive) goesOn() bool { return false }

// full reserves the longest output of each request and has the others wait in the order they came.
type full struct {
	counter
	reserved map[string]int
}

// Full plays a queue that never overcommits memory.
func Full(s *day) policy { return &full{newCounter(s), make(map[string]int)} }

func (f *full) plan(now time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
	for _, q := range waiting {
		if q.IsExpired(now) {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: returnAfter})
			continue
		}
		e := f.least(false, func(e *engine) bool { return f.reserved[e.id]+f.hold(q) <= e.model.Memory })
		r := f.least(true, func(e *engine) bool { return e.readUntil.Sub(now) < readerWindow })
		if e != nil && r != nil {
			places = append(places, f.place(q, e, r))
			f.reserved[e.id] += f.hold(q)
		}
	}
	return places, refusals
}

// readerWindow is how much work a reading engine may have before others wait.
const readerWindow = 150 * time.Millisecond

func (f *full) hold(q *request) int { return q.Prompt + q.MaxOutput }

func (f *full) ended(_ time.Time, id string, _ int) { f.free(id) }

func (f *full) failed(_ time.Time, id string) { f.free(id) }

func (f *full) held(now time.Time, p placer.Placement, ok bool) {
	if !ok {
		f.reserved[p.DecodeEngine] -= f.hold(f.day.requests[p.ID])
	}
	f.counter.held(now, p, ok)
}

func (f *full) free(id string) {
	if p, ok := f.placed[id]; ok {
		f.reserved[p.DecodeEngine] -= f.hold(f.day.requests[id])
	}
	f.drop(id)
}

// oracle knows the engines as they are and how long each output will be.
type oracle struct {
	counter
	// shortest has requests with the least use of memory go first, else those with the least time left.
	shortest bool
}

// Earliest plays an all-knowing scheduler that serves those first who have the least time left.
func Earliest(s *day) policy { return &oracle{counter: newCounter(s)} }

// Shortest plays an all-knowing scheduler that serves those first who use the least memory for the least time.
func Shortest(s *day) policy { return &oracle{counter: newCounter(s), shortest: true} }

func (o *oracle) hold(q *request) int { return q.Prompt + o.day.Model.Stride }

func (o *oracle) plan(now time.Time, waiting []*request) (places []placer.Placement, refusals []placer.Refusal) {
	list := slices.Clone(waiting)
	slices.SortStableFunc(list, func(a, b *request) int {
		if a.IsLate(now) != b.IsLate(now) {
			if a.IsLate(now) {
				return 1
			}
			return -1
		}
		if o.shortest {
			return cmp.Compare(a.use(), b.use())
		}
		return a.TargetStart.Compare(b.TargetStart)
	})
	misses := 0
	expected := o.expected()
	for _, q := range list {
		if q.IsExpired(now) {
			refusals = append(refusals, placer.Refusal{ID: q.ID, RetryAfter: returnAfter})
			continue
		}
		if misses > mostMisses {
			continue
		}
		r := o.soonest()
		if r == nil || r.readUntil.Sub(now) > readerWindow {
			break
		}
		if !q.IsLate(now) && o.first(now, r, q).After(q.FirstEventDeadline) {
			continue // late by now
		}
		e := o.least(false, func(e *engine) bool { return fits(e, expected[e.id], q) })
		if e == nil {
			misses++
			continue
		}
		places = append(places, o.place(q, e, r))
		expected[e.id] = append(expected[e.id], run{request: q})
		r.planned(now, q)
	}
	return places, refusals
}

// spare is the part of the memory that an all-knowing scheduler fills: runs begin a little later than it reckons.
const spare = 0.98

// soonest returns the reading engine that is free first.
func (o *oracle) soonest() *engine {
	var best *engine
	for _, e := range o.day.engines {
		if e.reads && !e.lost && !e.busy && (best == nil || e.readUntil.Before(best.readUntil)) {
			best = e
		}
	}
	return best
}

// first returns when the first event of a request comes.
func (o *oracle) first(now time.Time, r *engine, q *request) time.Time {
	begin := now
	if r.readUntil.After(begin) {
		begin = r.readUntil
	}
	fill := time.Duration(o.day.Model.Stride) * (o.day.Model.StepTime + time.Duration(o.day.Model.Slots/2)*o.day.Model.SlotTime)
	return begin.Add(o.day.readTime(q.Prompt) + 4*o.day.Hop + fill)
}

// mostMisses bounds the requests that are compared with full engines at one look.
const mostMisses = 20

// use is the memory of a generation times the tokens during which it is used.
func (q *request) use() float64 { return (float64(q.Prompt) + float64(q.output)/2) * float64(q.output) }

// expected returns what runs at each engine and what is on its way there.
func (o *oracle) expected() map[string][]run {
	expected := make(map[string][]run, len(o.day.engines))
	here := make(map[string]bool)
	for _, e := range o.day.engines {
		e.advance()
		for _, r := range e.runs {
			expected[e.id] = append(expected[e.id], *r)
			here[r.ID] = true
		}
	}
	for id, p := range o.placed {
		if !here[id] {
			expected[p.DecodeEngine] = append(expected[p.DecodeEngine], run{request: o.day.requests[id]})
		}
	}
	return expected
}

// fits tells whether an engine has memory for q until all that is expected there has ended.
func fits(e *engine, expected []run, q *request) bool {
	if len(expected) >= e.model.Slots {
		return false
	}
	most := spare * float64(e.model.Memory)
	if at(expected, q, 0) > most || at(expected, q, float64(q.output)) > most {
		return false
	}
	for _, r := range expected {
		if at(expected, q, float64(r.output)-r.made) > most {
			return false
		}
	}
	return true
}

// at returns the memory in use once each run, and q, has made further tokens.
func at(expected []run, q *request, made float64) float64 {
	total := 0.0
	if made <= float64(q.output) {
		total = float64(q.Prompt) + made
	}
	for i := range expected {
		if r := &expected[i]; r.made+made <= float64(r.output) {
			total += r.memory() + made
		}
	}
	return total
}
