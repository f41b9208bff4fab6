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
	tick = 20 * time.Millisecond
	// stillAfter is how long a watching desk has nothing to do if its host has stood still: some looks at the split are
	// missing. A host that is merely short of processor time is late by less.
	stillAfter = 3 * balancePeriod
)

// ticket is a request that waits or has a place that nobody has fetched yet.
type ticket struct {
	request placer.Request
	alone   bool
	taking  bool
	// polled is when its host asked last, patience how long that host waits for the answer.
	polled   time.Time
	patience time.Duration
	answer   chan wire.PlacementResponse
	done     bool
}

// isAbandoned tells whether a ticket's host has not asked again.
func (t *ticket) isAbandoned(now time.Time) bool {
	return now.Sub(t.polled) > 2*t.patience+answerSlack
}

// desk places the generations of one service.
type desk struct {
	dispatcher *Dispatcher
	service    string
	mu         sync.Mutex
	tickets    map[string]*ticket
	placer     *placer.Placer
	running    bool
	watching   bool
	used       time.Time
	// since is when this host began to place for others or alone, after a pause.
	since time.Time
	// seen is when the desk last had something to do; it has twice a second while it watches.
	seen time.Time
	wake chan struct{}
}

func newDesk(d *Dispatcher, service string, random *rand.Rand) *desk {
	return &desk{
		dispatcher: d, service: service, tickets: make(map[string]*ticket), placer: placer.New(random),
		wake: make(chan struct{}, 1),
	}
}

// now returns the time. After the host stood still, what waits to be taken in is as old as the pause and no measure of
// anything, and others have placed meanwhile: the desk starts anew. The caller holds mu.
func (k *desk) now() time.Time {
	now := k.dispatcher.Clock.Now()
	if gap := now.Sub(k.seen); k.watching && gap > stillAfter {
		eventer.Warn(k.dispatcher.Logs, eventer.HostSuspended, "service", k.service, "ms", gap.Milliseconds())
		k.since = now
		k.placer.StoodStill()
	}
	k.seen = now
	return now
}

// poll takes a request in, or asks what became of it.
func (k *desk) poll(ctx context.Context, r placer.Request, patience time.Duration, alone bool) wire.PlacementResponse {
	t := k.admit(r, patience, alone)
	select {
	case answer := <-t.answer:
		k.forget(t)
		return answer
	case <-ctx.Done():
	case <-k.dispatcher.Clock.After(patience):
	}
	return wire.PlacementResponse{State: stateWaiting}
}

func (k *desk) admit(r placer.Request, patience time.Duration, alone bool) *ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if now.Sub(k.used) > idleAfter {
		k.since = now
	}
	k.used = now
	t := k.tickets[r.ID]
	if t == nil {
		r = k.placer.Asked(now, r)
		t = &ticket{request: r, alone: alone, answer: make(chan wire.PlacementResponse, 1)}
		k.tickets[r.ID] = t
	}
	t.polled, t.patience = now, patience
	if !k.watching {
		k.watching = true
		go k.watch()
	}
	if !k.running {
		k.running = true
		go k.run()
		return t
	}
	k.nudge()
	return t
}

// nudge has those who wait looked at now.
func (k *desk) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *desk) forget(t *ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tickets[t.request.ID] == t {
		delete(k.tickets, t.request.ID)
	}
}

// tell takes in how far a generation is.
func (k *desk) tell(p Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	switch p.Step {
	case Read:
		k.placer.Read(now, p.ID)
		k.judge(p.Engine, (*ejector.Health).Recovered)
	case Unread:
		k.placer.Unread(now, p.ID, p.Engine, true)
	case Unreachable:
		k.placer.Unread(now, p.ID, p.Engine, false)
		k.judge(p.Engine, func(h *ejector.Health) { h.Failed(now) })
	case Lost:
		k.placer.Lost(now, p.Engine)
	case Began:
		k.placer.Began(now, p.ID)
		k.judge(p.Engine, (*ejector.Health).Recovered)
	case Paced:
		k.placer.Paced(now, p.ID, p.Output, p.Took)
	case Ended:
		k.placer.Ended(now, p.ID, p.Output)
	case Refused:
		k.placer.Refused(now, p.ID, p.Engine)
	case Failed:
		k.placer.Failed(now, p.ID)
		if t := k.tickets[p.ID]; t != nil {
			k.drop(t)
		}
	}
	if p.Step.frees() {
		k.nudge()
	}
}

// judge takes what another host saw of an engine into its health here.
func (k *desk) judge(engine string, f func(*ejector.Health)) {
	if e := k.find(engine); e != nil {
		e.UpdateHealth(f)
	}
}

// drop forgets a request whose host asks no more, and gives its place up. The caller holds mu.
func (k *desk) drop(t *ticket) {
	t.done = true
	delete(k.tickets, t.request.ID)
	select {
	case answer := <-t.answer:
		k.placer.Failed(k.dispatcher.Clock.Now(), t.request.ID)
		if e := k.find(answer.Engine); e != nil && answer.Hold != "" {
			go k.release(e, answer.Hold)
		}
	default:
	}
}

func (k *desk) find(id string) *enlister.Endpoint { return k.dispatcher.Endpoints.Find(k.service, id) }

// run looks at those who wait until nobody does.
func (k *desk) run() {
	for k.step() {
		select {
		case <-k.wake:
		case <-k.dispatcher.done:
			return
		case <-k.dispatcher.Clock.After(tick):
		}
	}
}

// step has places taken for those who can be placed and refuses those who cannot. It returns false if nobody is left.
func (k *desk) step() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	waiting := k.waiting(now)
	if len(k.tickets) == 0 {
		k.running = false
		return false
	}
	engine, ok := k.update(now)
	if !ok {
		return true
	}
	plan := k.placer.Plan(now, waiting)
	for _, r := range plan.Refused {
		k.tickets[r.ID].answer <- wire.PlacementResponse{State: stateRefused, Reason: r.Reason, Wait: int(r.Wait.Milliseconds())}
	}
	for _, p := range plan.Places {
		t := k.tickets[p.ID]
		t.taking = true
		go k.take(t, p, k.want(now, t, engine))
	}
	return true
}

// waiting returns those who wait and drops those whom nobody asks for. The caller holds mu.
func (k *desk) waiting(now time.Time) []placer.Request {
	var list []placer.Request
	for _, t := range k.tickets {
		switch {
		case t.isAbandoned(now):
			k.drop(t)
		case t.taking || len(t.answer) > 0:
		default:
			list = append(list, t.request)
		}
	}
	return list
}

// update tells the placer of the present engines. It returns false for services without engines. The caller holds mu.
func (k *desk) update(now time.Time) (matcher.Engine, bool) {
	service, ok := k.dispatcher.Describe(k.service)
	if !ok || service.Engine == nil {
		return matcher.Engine{}, false
	}
	listed := k.dispatcher.Endpoints.Service(k.service)
	engines := make([]placer.Engine, 0, len(listed))
	for _, e := range listed {
		engines = append(engines, placer.Engine{
			ID: e.ID, DataCentre: e.DataCentre, Reads: e.Stage == enroller.Prefill, Out: e.IsEjected(now) || e.IsPaused(now),
			IsFailing: e.IsFailing(),
		})
	}
	k.placer.Update(*service.Engine, engines)
	return *service.Engine, true
}
