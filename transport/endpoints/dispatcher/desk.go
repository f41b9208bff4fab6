package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// tick is the time between two looks at those who wait.
	scheduleInterval = 20 * time.Millisecond
	// stillAfter is how long a watching desk has nothing to do if its host has stood still: some looks at the split are
	// missing. A host that is merely short of processor time is late by less.
	maxClockGap = 3 * balancePeriod
)

// ticket is a request that waits or has a place that nobody has fetched yet.
type pendingRequest struct {
	request         placer.Request
	isUncoordinated bool
	isReserving     bool
	// polled is when its host asked last, patience how long that host waits for the answer.
	lastPolled  time.Time
	pollTimeout time.Duration
	answer      chan wire.PlaceAnswer
	isRemoved   bool
}

// isAbandoned tells whether a ticket's host has not asked again.
func (t *pendingRequest) isExpired(now time.Time) bool {
	return now.Sub(t.lastPolled) > 2*t.pollTimeout+answerGrace
}

// desk places the generations of one service.
type scheduler struct {
	dispatcher   *Dispatcher
	service      string
	mu           sync.Mutex
	pending      map[string]*pendingRequest
	placer       *placer.Placer
	isScheduling bool
	isWatching   bool
	lastUsed     time.Time
	// since is when this host began to place for others or alone, after a pause.
	activeSince time.Time
	// seen is when the desk last had something to do; it has twice a second while it watches.
	lastActive time.Time
	wake       chan struct{}
}

func newScheduler(d *Dispatcher, service string, random *rand.Rand) *scheduler {
	return &scheduler{
		dispatcher: d, service: service, pending: make(map[string]*pendingRequest), placer: placer.New(random),
		wake: make(chan struct{}, 1),
	}
}

// now returns the time. After the host stood still, what waits to be taken in is as old as the pause and no measure of
// anything, and others have placed meanwhile: the desk starts anew. The caller holds mu.
func (k *scheduler) checkClock() time.Time {
	now := k.dispatcher.Clock.Now()
	if gap := now.Sub(k.lastActive); k.isWatching && gap > maxClockGap {
		eventer.Warn(k.dispatcher.Logs, eventer.StoodStill, "service", k.service, "ms", gap.Milliseconds())
		k.activeSince = now
		k.placer.DiscardPendingTimings()
	}
	k.lastActive = now
	return now
}

// poll takes a request in, or asks what became of it.
func (k *scheduler) poll(ctx context.Context, r placer.Request, patience time.Duration, alone bool) wire.PlaceAnswer {
	t := k.admit(r, patience, alone)
	select {
	case answer := <-t.answer:
		k.remove(t)
		return answer
	case <-ctx.Done():
	case <-k.dispatcher.Clock.After(patience):
	}
	return wire.PlaceAnswer{State: stateWaiting}
}

func (k *scheduler) admit(r placer.Request, patience time.Duration, alone bool) *pendingRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	if now.Sub(k.lastUsed) > idleTimeout {
		k.activeSince = now
	}
	k.lastUsed = now
	t := k.pending[r.ID]
	if t == nil {
		r = k.placer.RecordArrival(now, r)
		t = &pendingRequest{request: r, isUncoordinated: alone, answer: make(chan wire.PlaceAnswer, 1)}
		k.pending[r.ID] = t
	}
	t.lastPolled, t.pollTimeout = now, patience
	if !k.isWatching {
		k.isWatching = true
		go k.watch()
	}
	if !k.isScheduling {
		k.isScheduling = true
		go k.run()
		return t
	}
	k.signal()
	return t
}

// nudge has those who wait looked at now.
func (k *scheduler) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *scheduler) remove(t *pendingRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[t.request.ID] == t {
		delete(k.pending, t.request.ID)
	}
}

// tell takes in how far a generation is.
func (k *scheduler) applyProgress(p Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	switch p.Step {
	case PromptRead:
		k.placer.RecordPrefill(now, p.ID)
		k.updateHealth(p.Engine, (*ejector.Health).Recovered)
	case PromptRefused:
		k.placer.RecordPrefillFailure(now, p.ID, p.Engine, true)
	case Unreachable:
		k.placer.RecordPrefillFailure(now, p.ID, p.Engine, false)
		k.updateHealth(p.Engine, func(h *ejector.Health) { h.Failed(now) })
	case CacheLost:
		k.placer.RecordCacheLoss(now, p.Engine)
	case OutputStarted:
		k.placer.RecordFirstEvent(now, p.ID)
		k.updateHealth(p.Engine, (*ejector.Health).Recovered)
	case OutputPaced:
		k.placer.RecordOutput(now, p.ID, p.Output, p.Took)
	case OutputEnded:
		k.placer.RecordCompletion(now, p.ID, p.Output)
	case HoldRefused:
		k.placer.RecordDecodeRefusal(now, p.ID, p.Engine)
	case Failed:
		k.placer.RecordFailure(now, p.ID)
		if t := k.pending[p.ID]; t != nil {
			k.abandon(t)
		}
	}
	if p.Step.freesCapacity() {
		k.signal()
	}
}

// judge takes what another host saw of an engine into its health here.
func (k *scheduler) updateHealth(engine string, f func(*ejector.Health)) {
	if e := k.find(engine); e != nil {
		e.UpdateHealth(f)
	}
}

// drop forgets a request whose host asks no more, and gives its place up. The caller holds mu.
func (k *scheduler) abandon(t *pendingRequest) {
	t.isRemoved = true
	delete(k.pending, t.request.ID)
	select {
	case answer := <-t.answer:
		k.placer.RecordFailure(k.dispatcher.Clock.Now(), t.request.ID)
		if e := k.find(answer.Engine); e != nil && answer.Hold != "" {
			go k.releaseHold(e, answer.Hold)
		}
	default:
	}
}

func (k *scheduler) find(id string) *enlister.Endpoint {
	return k.dispatcher.Endpoints.Find(k.service, id)
}

// run looks at those who wait until nobody does.
func (k *scheduler) run() {
	for k.schedule() {
		select {
		case <-k.wake:
		case <-k.dispatcher.done:
			return
		case <-k.dispatcher.Clock.After(scheduleInterval):
		}
	}
}

// step has places taken for those who can be placed and refuses those who cannot. It returns false if nobody is left.
func (k *scheduler) schedule() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	waiting := k.waitingRequests(now)
	if len(k.pending) == 0 {
		k.isScheduling = false
		return false
	}
	engine, ok := k.updateEngines(now)
	if !ok {
		return true
	}
	plan := k.placer.Plan(now, waiting)
	for _, r := range plan.Refusals {
		k.pending[r.ID].answer <- wire.PlaceAnswer{State: stateRefused, Reason: r.Reason, Wait: int(r.RetryAfter.Milliseconds())}
	}
	for _, p := range plan.Placements {
		t := k.pending[p.ID]
		t.isReserving = true
		go k.reserve(t, p, k.holdFor(now, t, engine))
	}
	return true
}

// waiting returns those who wait and drops those whom nobody asks for. The caller holds mu.
func (k *scheduler) waitingRequests(now time.Time) []placer.Request {
	var list []placer.Request
	for _, t := range k.pending {
		switch {
		case t.isExpired(now):
			k.abandon(t)
		case t.isReserving || len(t.answer) > 0:
		default:
			list = append(list, t.request)
		}
	}
	return list
}

// update tells the placer of the present engines. It returns false for services without engines. The caller holds mu.
func (k *scheduler) updateEngines(now time.Time) (matcher.Engine, bool) {
	service, ok := k.dispatcher.Describe(k.service)
	if !ok || service.Engine == nil {
		return matcher.Engine{}, false
	}
	listed := k.dispatcher.Endpoints.Service(k.service)
	engines := make([]placer.Engine, 0, len(listed))
	for _, e := range listed {
		engines = append(engines, placer.Engine{
			ID: e.ID, DataCentre: e.DataCentre, IsPrefill: e.Stage == enroller.Prefill, IsExcluded: e.IsEjected(now) || e.IsPaused(now),
			IsFailing: e.IsFailing(),
		})
	}
	k.placer.Update(*service.Engine, engines)
	return *service.Engine, true
}
