// Package simulator plays a day of generations against model engines without sockets, in simulated time, under the
// real decisions of a service's home and under others to compare with.
package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
)

// Burst multiplies the load for a while.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Trouble befalls an engine. Slow is a factor on its times; 0 has it lost for good.
type Trouble struct {
	At, To time.Duration
	Engine int
	Slow   float64
}

// Day is what a day is made of.
type Day struct {
	Name    string
	Length  time.Duration
	Model   Model
	Readers int
	// Generators and the readers are all engines, the readers first.
	Generators int
	Zones      int
	// Rate is the number of requests a second outside of bursts.
	Rate     float64
	Bursts   []Burst
	Troubles []Trouble
	// Prompt and Output are mean numbers of tokens. Hints are off by a factor of e^HintSpread, usually.
	Prompt     float64
	Output     float64
	HintSpread float64
	MaxOutput  int
	// Target is the time to the first event, Pause the longest time between two, Deadline the end of a request's life.
	Target   time.Duration
	Pause    time.Duration
	Deadline time.Duration
	// WaitShare is the part of the time left that a request waits for a place at most; 0 has it wait until the deadline is
	// out of reach.
	WaitShare float64
	// Hop is the time from host to home or engine, one way.
	Hop  time.Duration
	Seed uint64
}

// Result is what became of a day.
type Result struct {
	Asked     int
	OnTime    int
	Late      int
	Refused   int
	Broken    int
	Preempted int
	// Unread is the number of prompt tokens that were read in vain or again.
	Unread int
	Moves  int
	// Refusals are how long refused requests had waited, those that came back counted again.
	Refusals []time.Duration
	// AllServed is the share of requests that were served, LargeServed that of the tenth with the longest prompts.
	AllServed   float64
	LargeServed float64
}

// lateWorth is what a late answer is worth of one in time.
const lateWorth = 0.2

// Worth returns the mean worth of a request.
func (r Result) Worth() float64 {
	return (float64(r.OnTime) + lateWorth*float64(r.Late)) / float64(max(1, r.Asked))
}

// day is a Day that runs.
type day struct {
	Day
	clock    clock
	random   *rand.Rand
	engines  []*engine
	byID     map[string]*engine
	policy   policy
	requests map[string]*request
	waiting  map[string]*request
	places   map[string]placer.Placement
	order    []string
	result   Result
}

const (
	// look is the time between two looks at those who wait, balancePeriod that between two looks at the split.
	look          = 20 * time.Millisecond
	balancePeriod = 500 * time.Millisecond
	// returnAfter is when those come back whom a policy without a forecast refuses.
	returnAfter = time.Second
	// settle is how long a day goes on after its last arrival.
	settle = 15 * time.Second
)

// Play plays a day under one policy.
func Play(d Day, choose func(*day) policy) Result {
	s := &day{
		Day: d, random: rand.New(rand.NewPCG(d.Seed, 1)), byID: make(map[string]*engine),
		requests: make(map[string]*request), waiting: make(map[string]*request), places: make(map[string]placer.Placement),
	}
	s.clock.now = start
	for i := range d.Readers + d.Generators {
		e := &engine{
			id: fmt.Sprintf("e%02d", i), zone: fmt.Sprintf("z%d", i%max(1, d.Zones)), model: d.Model, clock: &s.clock,
			reads: i < d.Readers, slow: 1, holds: make(map[string]int), updated: start, day: s,
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	s.policy = choose(s)
	for _, t := range d.Troubles {
		s.trouble(t)
	}
	s.arrivals()
	s.repeat(look, s.look)
	s.repeat(balancePeriod, s.balance)
	s.clock.runUntil(start.Add(d.Length + settle))
	for _, q := range s.requests {
		s.broken(q) // whoever has no end yet has left by now
	}
	s.countServed()
	return s.result
}

func (s *day) repeat(period time.Duration, run func()) {
	s.clock.after(period, func() {
		run()
		s.repeat(period, run)
	})
}

func (s *day) trouble(t Trouble) {
	e := s.engines[t.Engine]
	s.clock.after(t.At, func() {
		if t.Slow == 0 {
			e.lose()
			return
		}
		e.advance()
		e.slow = t.Slow
		e.replan()
	})
	if t.Slow > 0 {
		s.clock.after(t.To, func() {
			e.advance()
			e.slow = 1
			e.replan()
		})
	}
}

func (s *day) arrive(q *request) {
	s.clock.after(s.Hop, func() {
		s.waiting[q.ID] = q
		s.order = append(s.order, q.ID)
		q.arrived = s.clock.now
		if s.WaitShare > 0 {
			left := q.Arrived.Add(s.Deadline).Sub(s.clock.now)
			q.LatestStart = s.clock.now.Add(time.Duration(s.WaitShare * float64(left)))
		}
		s.policy.arrived(s.clock.now, q)
		s.look()
	})
}

// look has the policy look at those who wait.
func (s *day) look() {
	var waiting []*request
	var order []string
	listed := make(map[string]bool, len(s.order))
	for _, id := range s.order {
		if q := s.waiting[id]; q != nil && !listed[id] {
			listed[id] = true
			waiting = append(waiting, q)
			order = append(order, id)
		}
	}
	s.order = order
	if len(waiting) == 0 {
		return
	}
	places, refusals := s.policy.plan(s.clock.now, waiting)
	for _, r := range refusals {
		s.refuse(s.waiting[r.ID], r.RetryAfter)
	}
	for _, p := range places {
		q := s.waiting[p.ID]
		delete(s.waiting, p.ID)
		s.places[p.ID] = p
		s.clock.after(s.Hop, func() { s.take(q, p) })
	}
}

// refuse has a request come back once, if there is time.
func (s *day) refuse(q *request, wait time.Duration) {
	delete(s.waiting, q.ID)
	s.result.Refusals = append(s.result.Refusals, s.clock.now.Sub(q.arrived))
	if q.returned || s.clock.now.Add(wait).After(q.Arrived.Add(s.Deadline)) {
		q.over = true
		s.result.Refused++
		return
	}
	q.returned = true
	s.clock.after(wait, func() { s.arrive(q) })
}

// take reserves a place and has the prompt read.
func (s *day) take(q *request, p placer.Placement) {
	e := s.byID[p.DecodeEngine]
	if tokens := s.policy.hold(q); tokens > 0 {
		ok := e.hold(q.ID, tokens)
		s.clock.after(s.Hop, func() {
			s.policy.held(s.clock.now, p, ok)
			if !ok {
				s.waiting[q.ID] = q
				s.order = append(s.order, q.ID)
			}
		})
		if !ok {
			return
		}
	}
	s.clock.after(2*s.Hop, func() { s.readAt(q, p) })
}

func (s *day) readAt(q *request, p placer.Placement) {
	if p.PrefillEngine == "" {
		s.byID[p.DecodeEngine].readOwn(q.Prompt)
		s.generate(q, p)
		return
	}
	s.byID[p.PrefillEngine].read(q.Prompt, q.planned, func(ok bool) {
		q.planned = false
		s.clock.after(s.Hop, func() {
			s.policy.read(s.clock.now, p, ok)
			if !ok {
				s.fail(q)
				return
			}
			s.generate(q, p)
		})
	})
}

func (s *day) generate(q *request, p placer.Placement) {
	if s.clock.now.After(q.Arrived.Add(s.Deadline)) {
		s.broken(q)
		return
	}
	if !s.byID[p.DecodeEngine].generate(q) {
		s.result.Unread += q.Prompt
		s.fail(q)
	}
}

// fail has a request whose place came to nothing wait anew.
func (s *day) fail(q *request) {
	s.policy.failed(s.clock.now, q.ID)
	delete(s.byID[s.places[q.ID].DecodeEngine].holds, q.ID)
	delete(s.places, q.ID)
	if !s.policy.goesOn() {
		s.refuse(q, returnAfter)
		return
	}
	s.arrive(q)
}

// broken ends a request whose engine was lost.
func (s *day) broken(q *request) {
	if q.over {
		return
	}
	q.over = true
	s.result.Broken++
	s.result.Unread += q.Prompt
	s.clock.after(s.Hop, func() { s.policy.failed(s.clock.now, q.ID) })
}

// paced takes in one more event of a run.
func (s *day) paced(r *run) {
	took := s.clock.now.Sub(r.pacedAt)
	r.pacedAt = s.clock.now
	if !r.began {
		r.began = true
		r.begun = s.clock.now
		s.clock.after(s.Hop, func() { s.policy.began(s.clock.now, r.ID) })
		return
	}
	if took > s.Pause {
		r.slow = true
	}
	s.clock.after(s.Hop, func() { s.policy.paced(s.clock.now, r.ID, s.Model.Stride, took) })
}

func (s *day) ended(r *run) {
	if r.over {
		return
	}
	r.over = true
	if !r.began {
		r.begun = s.clock.now
	}
	switch {
	case s.clock.now.After(r.Arrived.Add(s.Deadline)):
		s.result.Broken++
	case r.begun.Sub(r.Arrived)+s.Hop <= s.Target && !r.slow:
		s.result.OnTime++
	default:
		s.result.Late++
	}
	r.served = !s.clock.now.After(r.Arrived.Add(s.Deadline))
	s.clock.after(s.Hop, func() {
		s.policy.ended(s.clock.now, r.ID, r.output)
		s.look()
	})
}

// countServed works out how often requests of all sizes and large ones were served.
func (s *day) countServed() {
	list := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(cmp.Compare(b.Prompt, a.Prompt), cmp.Compare(a.ID, b.ID)) })
	s.result.AllServed = servedShare(list)
	s.result.LargeServed = servedShare(list[:len(list)/10])
}

func servedShare(list []*request) float64 {
	n := 0
	for _, q := range list {
		if q.served {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

func (s *day) balance() {
	engines, reads := s.policy.balance(s.clock.now)
	for _, id := range engines {
		s.result.Moves++
		e := s.byID[id]
		s.clock.after(s.Hop, func() { e.change(reads) })
	}
}

// readTime returns how long an engine takes to read a prompt.
func (s *day) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.Model.ReadSpeed * float64(time.Second))
}

// list returns the engines as a home sees them.
func (s *day) list() []placer.Engine {
	list := make([]placer.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.lost {
			list = append(list, placer.Engine{ID: e.id, DataCentre: e.zone, IsPrefill: e.reads, IsExcluded: e.busy})
		}
	}
	return list
}
