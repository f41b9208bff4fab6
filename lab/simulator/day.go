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
type Fault struct {
	At, To   time.Duration
	Engine   int
	Slowdown float64
}

// Day is what a day is made of.
type Scenario struct {
	Name           string
	Length         time.Duration
	Model          Model
	PrefillEngines int
	// Generators and the readers are all engines, the readers first.
	DecodeEngines int
	DataCentres   int
	// Rate is the number of requests a second outside of bursts.
	Rate   float64
	Bursts []Burst
	Faults []Fault
	// Prompt and Output are mean numbers of tokens. Hints are off by a factor of e^HintSpread, usually.
	Prompt     float64
	Output     float64
	HintSpread float64
	MaxOutput  int
	// Target is the time to the first event, Pause the longest time between two, Deadline the end of a request's life.
	FirstEventTarget time.Duration
	MaxPause         time.Duration
	Deadline         time.Duration
	// WaitShare is the part of the time left that a request waits for a place at most; 0 has it wait until the deadline is
	// out of reach.
	MaxWaitShare float64
	// Hop is the time from host to home or engine, one way.
	HopLatency time.Duration
	Seed       uint64
}

// Result is what became of a day.
type Result struct {
	Requests  int
	OnTime    int
	Late      int
	Refused   int
	Failed    int
	Preempted int
	// Unread is the number of prompt tokens that were read in vain or again.
	WastedTokens int
	Moves        int
	// Refusals are how long refused requests had waited, those that came back counted again.
	RefusalWaits []time.Duration
	// AllServed is the share of requests that were served, LargeServed that of the tenth with the longest prompts.
	ServedShare      float64
	LargeServedShare float64
}

// lateWorth is what a late answer is worth of one in time.
const lateAnswerWorth = 0.2

// Worth returns the mean worth of a request.
func (r Result) Worth() float64 {
	return (float64(r.OnTime) + lateAnswerWorth*float64(r.Late)) / float64(max(1, r.Requests))
}

// day is a Day that runs.
type simulation struct {
	Scenario
	clock        clock
	random       *rand.Rand
	engines      []*engine
	engineByID   map[string]*engine
	policy       policy
	requests     map[string]*request
	waiting      map[string]*request
	placements   map[string]placer.Placement
	waitingOrder []string
	result       Result
}

const (
	// look is the time between two looks at those who wait, balancePeriod that between two looks at the split.
	planInterval    = 20 * time.Millisecond
	balanceInterval = 500 * time.Millisecond
	// returnAfter is when those come back whom a policy without a forecast refuses.
	retryAfter = time.Second
	// settle is how long a day goes on after its last arrival.
	drainTime = 15 * time.Second
)

// Play plays a day under one policy.
func Simulate(d Scenario, choose func(*simulation) policy) Result {
	s := &simulation{
		Scenario: d, random: rand.New(rand.NewPCG(d.Seed, 1)), engineByID: make(map[string]*engine),
		requests: make(map[string]*request), waiting: make(map[string]*request), placements: make(map[string]placer.Placement),
	}
	s.clock.now = startTime
	for i := range d.PrefillEngines + d.DecodeEngines {
		e := &engine{
			id: fmt.Sprintf("e%02d", i), dataCentre: fmt.Sprintf("z%d", i%max(1, d.DataCentres)), model: d.Model, clock: &s.clock,
			isPrefill: i < d.PrefillEngines, slowdown: 1, holds: make(map[string]int), updatedAt: startTime, sim: s,
		}
		s.engines = append(s.engines, e)
		s.engineByID[e.id] = e
	}
	s.policy = choose(s)
	for _, t := range d.Faults {
		s.scheduleFault(t)
	}
	s.scheduleArrivals()
	s.every(planInterval, s.planWaiting)
	s.every(balanceInterval, s.balance)
	s.clock.runUntil(startTime.Add(d.Length + drainTime))
	for _, q := range s.requests {
		s.failRequest(q) // whoever has no end yet has left by now
	}
	s.computeServedShares()
	return s.result
}

func (s *simulation) every(period time.Duration, run func()) {
	s.clock.after(period, func() {
		run()
		s.every(period, run)
	})
}

func (s *simulation) scheduleFault(t Fault) {
	e := s.engines[t.Engine]
	s.clock.after(t.At, func() {
		if t.Slowdown == 0 {
			e.fail()
			return
		}
		e.advance()
		e.slowdown = t.Slowdown
		e.scheduleNext()
	})
	if t.Slowdown > 0 {
		s.clock.after(t.To, func() {
			e.advance()
			e.slowdown = 1
			e.scheduleNext()
		})
	}
}

func (s *simulation) enqueue(q *request) {
	s.clock.after(s.HopLatency, func() {
		s.waiting[q.ID] = q
		s.waitingOrder = append(s.waitingOrder, q.ID)
		q.lastArrival = s.clock.now
		if s.MaxWaitShare > 0 {
			left := q.Arrived.Add(s.Deadline).Sub(s.clock.now)
			q.LatestStart = s.clock.now.Add(time.Duration(s.MaxWaitShare * float64(left)))
		}
		s.policy.recordArrival(s.clock.now, q)
		s.planWaiting()
	})
}

// look has the policy look at those who wait.
func (s *simulation) planWaiting() {
	var waiting []*request
	var order []string
	listed := make(map[string]bool, len(s.waitingOrder))
	for _, id := range s.waitingOrder {
		if q := s.waiting[id]; q != nil && !listed[id] {
			listed[id] = true
			waiting = append(waiting, q)
			order = append(order, id)
		}
	}
	s.waitingOrder = order
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
		s.placements[p.ID] = p
		s.clock.after(s.HopLatency, func() { s.reserve(q, p) })
	}
}

// refuse has a request come back once, if there is time.
func (s *simulation) refuse(q *request, wait time.Duration) {
	delete(s.waiting, q.ID)
	s.result.RefusalWaits = append(s.result.RefusalWaits, s.clock.now.Sub(q.lastArrival))
	if q.wasRefused || s.clock.now.Add(wait).After(q.Arrived.Add(s.Deadline)) {
		q.isDone = true
		s.result.Refused++
		return
	}
	q.wasRefused = true
	s.clock.after(wait, func() { s.enqueue(q) })
}

// take reserves a place and has the prompt read.
func (s *simulation) reserve(q *request, p placer.Placement) {
	e := s.engineByID[p.DecodeEngine]
	if tokens := s.policy.holdTokens(q); tokens > 0 {
		ok := e.hold(q.ID, tokens)
		s.clock.after(s.HopLatency, func() {
			s.policy.recordHold(s.clock.now, p, ok)
			if !ok {
				s.waiting[q.ID] = q
				s.waitingOrder = append(s.waitingOrder, q.ID)
			}
		})
		if !ok {
			return
		}
	}
	s.clock.after(2*s.HopLatency, func() { s.prefill(q, p) })
}

func (s *simulation) prefill(q *request, p placer.Placement) {
	if p.PrefillEngine == "" {
		s.engineByID[p.DecodeEngine].prefillLocally(q.Prompt)
		s.startDecode(q, p)
		return
	}
	s.engineByID[p.PrefillEngine].prefill(q.Prompt, q.isPrefillPlanned, func(ok bool) {
		q.isPrefillPlanned = false
		s.clock.after(s.HopLatency, func() {
			s.policy.recordPrefill(s.clock.now, p, ok)
			if !ok {
				s.retry(q)
				return
			}
			s.startDecode(q, p)
		})
	})
}

func (s *simulation) startDecode(q *request, p placer.Placement) {
	if s.clock.now.After(q.Arrived.Add(s.Deadline)) {
		s.failRequest(q)
		return
	}
	if !s.engineByID[p.DecodeEngine].startRun(q) {
		s.result.WastedTokens += q.Prompt
		s.retry(q)
	}
}

// fail has a request whose place came to nothing wait anew.
func (s *simulation) retry(q *request) {
	s.policy.recordFailure(s.clock.now, q.ID)
	delete(s.engineByID[s.placements[q.ID].DecodeEngine].holds, q.ID)
	delete(s.placements, q.ID)
	if !s.policy.retriesFailed() {
		s.refuse(q, retryAfter)
		return
	}
	s.enqueue(q)
}

// broken ends a request whose engine was lost.
func (s *simulation) failRequest(q *request) {
	if q.isDone {
		return
	}
	q.isDone = true
	s.result.Failed++
	s.result.WastedTokens += q.Prompt
	s.clock.after(s.HopLatency, func() { s.policy.recordFailure(s.clock.now, q.ID) })
}

// paced takes in one more event of a run.
func (s *simulation) recordOutput(r *run) {
	took := s.clock.now.Sub(r.reportedAt)
	r.reportedAt = s.clock.now
	if !r.hasFirstEvent {
		r.hasFirstEvent = true
		r.firstEventAt = s.clock.now
		s.clock.after(s.HopLatency, func() { s.policy.recordFirstEvent(s.clock.now, r.ID) })
		return
	}
	if took > s.MaxPause {
		r.isSlow = true
	}
	s.clock.after(s.HopLatency, func() { s.policy.recordOutput(s.clock.now, r.ID, s.Model.Stride, took) })
}

func (s *simulation) complete(r *run) {
	if r.isDone {
		return
	}
	r.isDone = true
	if !r.hasFirstEvent {
		r.firstEventAt = s.clock.now
	}
	switch {
	case s.clock.now.After(r.Arrived.Add(s.Deadline)):
		s.result.Failed++
	case r.firstEventAt.Sub(r.Arrived)+s.HopLatency <= s.FirstEventTarget && !r.isSlow:
		s.result.OnTime++
	default:
		s.result.Late++
	}
	r.isServed = !s.clock.now.After(r.Arrived.Add(s.Deadline))
	s.clock.after(s.HopLatency, func() {
		s.policy.recordCompletion(s.clock.now, r.ID, r.output)
		s.planWaiting()
	})
}

// countServed works out how often requests of all sizes and large ones were served.
func (s *simulation) computeServedShares() {
	list := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(cmp.Compare(b.Prompt, a.Prompt), cmp.Compare(a.ID, b.ID)) })
	s.result.ServedShare = shareServed(list)
	s.result.LargeServedShare = shareServed(list[:len(list)/10])
}

func shareServed(list []*request) float64 {
	n := 0
	for _, q := range list {
		if q.isServed {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

func (s *simulation) balance() {
	engines, reads := s.policy.balance(s.clock.now)
	for _, id := range engines {
		s.result.Moves++
		e := s.engineByID[id]
		s.clock.after(s.HopLatency, func() { e.changeStage(reads) })
	}
}

// readTime returns how long an engine takes to read a prompt.
func (s *simulation) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.Model.PrefillSpeed * float64(time.Second))
}

// list returns the engines as a home sees them.
func (s *simulation) engineList() []placer.Engine {
	list := make([]placer.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.isLost {
			list = append(list, placer.Engine{ID: e.id, DataCentre: e.dataCentre, IsPrefill: e.isPrefill, IsExcluded: e.isChangingStage})
		}
	}
	return list
}
