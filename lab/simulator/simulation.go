// Package simulator runs generations against simulated model engines in simulated time, without sockets. It schedules
// them with the placement code that the owner of a service runs, and with baseline policies for comparison.
package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
)

// Burst multiplies the request rate by Factor between From and To.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Fault slows an engine down by the factor Slowdown from At to To. With a Slowdown of 0 the engine fails for good.
type Fault struct {
	At, To   time.Duration
	Engine   int
	Slowdown float64
}

// Scenario describes the engines, the load and the faults of one simulation.
type Scenario struct {
	Name           string
	Length         time.Duration
	Model          Model
	PrefillEngines int
	// DecodeEngines are numbered after the prefill engines; together they are all engines.
	DecodeEngines int
	DataCentres   int
	// Rate is in requests per second outside bursts.
	Rate   float64
	Bursts []Burst
	Faults []Fault
	// Prompt and Output are mean numbers of tokens. Length hints have a log-normal error whose sigma is HintSpread.
	Prompt     float64
	Output     float64
	HintSpread float64
	MaxOutput  int
	// FirstEventTarget is the target for the first event, MaxPause the longest time between two events. Deadline is when
	// a request expires. All but MaxPause count from its arrival.
	FirstEventTarget time.Duration
	MaxPause         time.Duration
	Deadline         time.Duration
	// MaxWaitShare is the largest share of its remaining time that a request waits for a placement. With 0 it waits until
	// the deadline cannot be met any more.
	MaxWaitShare float64
	// HopLatency is the one-way latency from a host to the owner or to an engine.
	HopLatency time.Duration
	Sharing    Sharing
	Seed       uint64
}

// Sharing describes the first parts that prompts share. Each prompt has one of Prefixes parts of Tokens tokens, drawn uniformly;
// with 0 Prefixes, prompts share nothing.
type Sharing struct {
	Prefixes int
	Tokens   int
	// CacheTokens is the capacity of a prefill engine's cache; the remainders of prompts take up capacity, too.
	CacheTokens int
}

// Result counts the outcomes of a simulation. The report stores it as JSON.
type Result struct {
	Requests  int `json:"Asked"`
	OnTime    int
	Late      int
	Refused   int
	Failed    int `json:"Broken"`
	Preempted int
	// WastedTokens counts prompt tokens whose prefill was not used or was repeated.
	WastedTokens int `json:"Unread"`
	Moves        int
	// RefusalWaits has the waiting time of each refusal. A request that is refused again after its retry counts twice.
	RefusalWaits []time.Duration `json:"Refusals"`
	// ServedShare is the share of all requests that were served, LargeServedShare that of the tenth with the longest prompts.
	ServedShare      float64 `json:"AllServed"`
	LargeServedShare float64 `json:"LargeServed"`
	// PromptTokens counts the tokens of the prompts at prefill engines in scenarios with shared parts, CachedTokens those of
	// them that were not prefilled again.
	PromptTokens int `json:"-"`
	CachedTokens int `json:"-"`
	// FirstEventWaits has the time from arrival to first event of each request that was answered.
	FirstEventWaits []time.Duration `json:"-"`
}

// lateAnswerWorth is the worth of a late answer; one in time has a worth of 1.
const lateAnswerWorth = 0.2

// Worth returns the mean worth per request, from 0 to 1.
func (r Result) Worth() float64 {
	return (float64(r.OnTime) + lateAnswerWorth*float64(r.Late)) / float64(max(1, r.Requests))
}

// simulation is the state of a running Scenario.
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
	// planInterval is the time between two plans for the waiting requests, balanceInterval the time between two checks of
	// the split of engines between prefill and decode.
	planInterval    = 20 * time.Millisecond
	balanceInterval = 500 * time.Millisecond
	// retryAfter is the retry delay of policies that have no forecast.
	retryAfter = time.Second
	// drainTime is how long a simulation continues after the last arrival.
	drainTime = 15 * time.Second
)

// Simulate runs a scenario under one policy.
func Simulate(sc Scenario, newPolicy func(*simulation) policy) Result {
	s := &simulation{
		Scenario: sc, random: rand.New(rand.NewPCG(sc.Seed, 1)), engineByID: make(map[string]*engine),
		requests: make(map[string]*request), waiting: make(map[string]*request), placements: make(map[string]placer.Placement),
	}
	s.clock.now = startTime
	for i := range sc.PrefillEngines + sc.DecodeEngines {
		e := &engine{
			id: fmt.Sprintf("e%02d", i), dataCentre: fmt.Sprintf("z%d", i%max(1, sc.DataCentres)), model: sc.Model, clock: &s.clock,
			isPrefill: i < sc.PrefillEngines, slowdown: 1, holds: make(map[string]int), updatedAt: startTime, sim: s,
		}
		s.clearCache(e)
		s.engines = append(s.engines, e)
		s.engineByID[e.id] = e
	}
	s.policy = newPolicy(s)
	for _, f := range sc.Faults {
		s.scheduleFault(f)
	}
	s.scheduleArrivals()
	s.every(planInterval, s.planWaiting)
	s.every(balanceInterval, s.balance)
	s.clock.runUntil(startTime.Add(sc.Length + drainTime))
	for _, q := range s.requests {
		s.failRequest(q) // requests without an outcome have expired by now
	}
	s.computeServedShares()
	return s.result
}

// clearCache empties the cache of an engine, which changes its stage or starts.
func (s *simulation) clearCache(e *engine) {
	if s.Sharing.Prefixes > 0 {
		e.cache = cachetracker.New(s.Sharing.CacheTokens)
	}
}

func (s *simulation) every(interval time.Duration, run func()) {
	s.clock.after(interval, func() {
		run()
		s.every(interval, run)
	})
}

func (s *simulation) scheduleFault(f Fault) {
	e := s.engines[f.Engine]
	s.clock.after(f.At, func() {
		if f.Slowdown == 0 {
			e.fail()
			return
		}
		e.advance()
		e.slowdown = f.Slowdown
		e.scheduleNext()
	})
	if f.Slowdown > 0 {
		s.clock.after(f.To, func() {
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
		q.Arrived = s.clock.now
		if s.MaxWaitShare > 0 {
			left := q.firstArrival.Add(s.Deadline).Sub(s.clock.now)
			q.LatestStart = s.clock.now.Add(time.Duration(s.MaxWaitShare * float64(left)))
		}
		s.policy.recordArrival(s.clock.now, q)
		s.planWaiting()
	})
}

// planWaiting passes the waiting requests to the policy in order of arrival and applies its plan.
func (s *simulation) planWaiting() {
	var waiting []*request
	var order []string
	seen := make(map[string]bool, len(s.waitingOrder))
	for _, id := range s.waitingOrder {
		if q := s.waiting[id]; q != nil && !seen[id] {
			seen[id] = true
			waiting = append(waiting, q)
			order = append(order, id)
		}
	}
	s.waitingOrder = order
	if len(waiting) == 0 {
		return
	}
	placements, refusals := s.policy.plan(s.clock.now, waiting)
	for _, r := range refusals {
		s.refuse(s.waiting[r.ID], r.RetryAfter)
	}
	for _, p := range placements {
		q := s.waiting[p.ID]
		delete(s.waiting, p.ID)
		s.placements[p.ID] = p
		s.clock.after(s.HopLatency, func() { s.reserve(q, p) })
	}
}

// refuse schedules one retry of a request if it can arrive before its deadline, and counts it as refused otherwise.
func (s *simulation) refuse(q *request, wait time.Duration) {
	delete(s.waiting, q.ID)
	s.result.RefusalWaits = append(s.result.RefusalWaits, s.clock.now.Sub(q.Arrived))
	if q.wasRefused || s.clock.now.Add(wait).After(q.firstArrival.Add(s.Deadline)) {
		q.isDone = true
		s.result.Refused++
		return
	}
	q.wasRefused = true
	s.clock.after(wait, func() { s.enqueue(q) })
}

// reserve holds memory at the decode engine and then starts the prefill.
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
	e := s.engineByID[p.PrefillEngine]
	e.prefill(e.tokensToPrefill(q), q.isPrefillPlanned, func(ok bool) {
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
	if s.clock.now.After(q.firstArrival.Add(s.Deadline)) {
		s.failRequest(q)
		return
	}
	if !s.engineByID[p.DecodeEngine].startRun(q) {
		s.result.WastedTokens += q.Prompt
		s.retry(q)
	}
}

// retry queues a request again, or refuses it, after its placement failed.
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

// failRequest ends a request without an answer: its engine failed or it expired.
func (s *simulation) failRequest(q *request) {
	if q.isDone {
		return
	}
	q.isDone = true
	s.result.Failed++
	s.result.WastedTokens += q.Prompt
	s.clock.after(s.HopLatency, func() { s.policy.recordFailure(s.clock.now, q.ID) })
}

// recordOutput handles the next event of a run.
func (s *simulation) recordOutput(r *run) {
	elapsed := s.clock.now.Sub(r.reportedAt)
	r.reportedAt = s.clock.now
	if !r.hasFirstEvent {
		r.hasFirstEvent = true
		r.firstEventAt = s.clock.now
		s.clock.after(s.HopLatency, func() { s.policy.recordFirstEvent(s.clock.now, r.ID) })
		return
	}
	if elapsed > s.MaxPause {
		r.isSlow = true
	}
	s.clock.after(s.HopLatency, func() { s.policy.recordOutput(s.clock.now, r.ID, s.Model.Stride, elapsed) })
}

func (s *simulation) complete(r *run) {
	if r.isDone {
		return
	}
	r.isDone = true
	if !r.hasFirstEvent {
		r.firstEventAt = s.clock.now
	}
	s.result.FirstEventWaits = append(s.result.FirstEventWaits, r.firstEventAt.Sub(r.firstArrival)+s.HopLatency)
	switch {
	case s.clock.now.After(r.firstArrival.Add(s.Deadline)):
		s.result.Failed++
	case r.firstEventAt.Sub(r.firstArrival)+s.HopLatency <= s.FirstEventTarget && !r.isSlow:
		s.result.OnTime++
	default:
		s.result.Late++
	}
	r.isServed = !s.clock.now.After(r.firstArrival.Add(s.Deadline))
	s.clock.after(s.HopLatency, func() {
		s.policy.recordCompletion(s.clock.now, r.ID, r.output)
		s.planWaiting()
	})
}

// computeServedShares sets the served shares of all requests and of the tenth with the longest prompts.
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
	engines, toPrefill := s.policy.balance(s.clock.now)
	for _, id := range engines {
		s.result.Moves++
		e := s.engineByID[id]
		s.clock.after(s.HopLatency, func() { e.changeStage(toPrefill) })
	}
}

// prefillTime returns how long an engine takes for the prefill of a prompt.
func (s *simulation) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.Model.PrefillSpeed * float64(time.Second))
}

// engineList returns the engines as the owner sees them.
func (s *simulation) engineList() []placer.Engine {
	list := make([]placer.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.isLost {
			list = append(list, placer.Engine{ID: e.id, DataCentre: e.dataCentre, IsPrefill: e.isPrefill, IsExcluded: e.isChangingStage})
		}
	}
	return list
}
