package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// confidence is the number of standard deviations of the predicted memory that are kept free. A preemption has a
	// prompt read again and breaks the pause between events; idle memory has requests wait.
	confidence = 1.5
	// tick is the time between two looks at those who wait.
	tick = 20 * time.Millisecond
	// refusedPause is how long an engine is not used after it refused a generation that had a hold there, or lost the KV
	// cache of a prompt: it does not do its part at present.
	refusedPause = time.Second
	// unreadPause is how long an engine is not used after it refused a prompt: it has too many, or has changed its stage.
	unreadPause = 400 * time.Millisecond
	// abandonAfter is how long a request that waits is kept without a question about it.
	abandonAfter = 2*pollWait + answerSlack
	// warmUp is how long a new home asks engines for free memory first: runs that started shortly before are not in any
	// report yet.
	warmUp = 1500 * time.Millisecond
	// placings is the number of places whose rate tells how long others will wait.
	placings = 12
	// minReturn and maxReturn bound what refused callers are told to wait.
	minReturn = 500 * time.Millisecond
	maxReturn = 4 * time.Second
)

// ticket is a request that waits or has a place that nobody has fetched yet.
type ticket struct {
	queuer.Item
	ask    Ask
	zone   string
	alone  bool
	taking bool
	polled time.Time
	answer chan wire.PlaceAnswer
	done   bool
}

// desk places the generations of one service.
type desk struct {
	dispatcher *Dispatcher
	service    string
	mu         sync.Mutex
	tickets    map[string]*ticket
	packer     *packer.Packer
	readers    *packer.Readers
	full       map[string]time.Time
	placed     []time.Time
	sizes      sizes
	stager     stager.Stager
	changes    map[string]change
	// reading tells until when a decode engine reads a prompt itself, for want of a reading engine.
	reading  map[string]time.Time
	running  bool
	watching bool
	used     time.Time
	// since is when this host began to place for others or alone, after a pause.
	since time.Time
	wake  chan struct{}
}

func newDesk(d *Dispatcher, service string) *desk {
	return &desk{
		dispatcher: d, service: service, tickets: make(map[string]*ticket), packer: packer.New(confidence),
		readers: packer.NewReaders(), full: make(map[string]time.Time), changes: make(map[string]change),
		reading: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// poll takes a request in, or asks what became of it.
func (k *desk) poll(ctx context.Context, a Ask, zone string, alone bool) wire.PlaceAnswer {
	clock := k.dispatcher.Clock
	t := k.admit(a, zone, alone)
	select {
	case answer := <-t.answer:
		k.forget(t)
		return answer
	case <-ctx.Done():
	case <-clock.After(pollWait):
	}
	return wire.PlaceAnswer{State: stateWaiting}
}

func (k *desk) admit(a Ask, zone string, alone bool) *ticket {
	now := k.dispatcher.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.used) > idleAfter {
		k.since = now
	}
	k.used = now
	t := k.tickets[a.ID]
	if t == nil {
		t = &ticket{
			ask: a, zone: zone, alone: alone, answer: make(chan wire.PlaceAnswer, 1),
			Item: queuer.Item{Priority: a.Priority, Arrived: a.Arrived, OnTime: a.OnTime, Latest: a.Latest},
		}
		k.tickets[a.ID] = t
		k.sizes.admit(a)
		k.packer.Asked(a.job())
	}
	t.polled = now
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
	if k.tickets[t.ask.ID] == t {
		delete(k.tickets, t.ask.ID)
	}
}

// tell takes in how far a generation is.
func (k *desk) tell(p Progress) {
	now := k.dispatcher.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch p.Step {
	case Read:
		k.readers.Done(now, p.ID)
		k.sizes.read++
	case Unread:
		k.readers.Drop(p.ID)
		k.full[p.Engine] = now.Add(unreadPause)
	case Unreachable:
		k.readers.Drop(p.ID)
		if e := k.find(p.Engine); e != nil {
			e.Judge(func(h *ejector.Health) { h.Failed(now) })
		}
	case Lost:
		k.full[p.Engine] = now.Add(refusedPause)
	case Began:
		k.packer.Began(p.ID, now)
	case Paced:
		k.packer.Paced(now, p.ID, p.Output, p.Took)
	case Ended:
		k.packer.Finished(now, p.ID, p.Output)
		k.sizes.ended++
	case Refused:
		k.full[p.Engine] = now.Add(refusedPause)
		k.packer.Remove(now, p.ID)
	case Failed:
		k.readers.Drop(p.ID)
		k.packer.Remove(now, p.ID)
		if t := k.tickets[p.ID]; t != nil {
			k.drop(t)
		}
	}
	if p.Step.frees() {
		k.nudge()
	}
}

// drop forgets a request whose host asks no more, and gives its place up. The caller holds mu.
func (k *desk) drop(t *ticket) {
	now := k.dispatcher.Clock.Now()
	t.done = true
	delete(k.tickets, t.ask.ID)
	select {
	case answer := <-t.answer:
		k.packer.Remove(now, t.ask.ID)
		k.readers.Drop(t.ask.ID)
		if e := k.find(answer.Engine); e != nil && answer.Hold != "" {
			go k.release(e, answer.Hold)
		}
	default:
	}
}

func (k *desk) find(id string) *enlister.Endpoint {
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.ID == id {
			return e
		}
	}
	return nil
}

func (k *desk) release(e *enlister.Endpoint, hold string) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := k.dispatcher.Engines.Drop(ctx, e.Address, hold); err != nil {
		eventer.Warn(k.dispatcher.Logs, eventer.ReleaseFailed, "endpoint", e.ID, "hold", hold, "error", err.Error())
	}
}

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

// step places who can be placed and refuses who cannot. It returns false if nobody is left.
func (k *desk) step() bool {
	now := k.dispatcher.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting := k.waiting(now)
	if len(k.tickets) == 0 {
		k.running = false
		return false
	}
	k.resize()
	missed := false
	for i, t := range waiting {
		if missed && t.IsLate(now) {
			k.refuseUnservable(now, waiting[i:], i)
			break
		}
		if !k.place(now, t) {
			missed = true
		}
	}
	return true
}

// waiting returns those who wait in the order of service and drops those whom nobody asks for. The caller holds mu.
func (k *desk) waiting(now time.Time) []*ticket {
	var list []*ticket
	for _, t := range k.tickets {
		switch {
		case now.Sub(t.polled) > abandonAfter:
			k.drop(t)
		case t.taking || len(t.answer) > 0:
		case t.IsLost(now):
			k.refuse(t, "no engine has room", k.returnAfter(now, len(list)))
		default:
			list = append(list, t)
		}
	}
	queuer.Sort(now, list, func(t *ticket) queuer.Item { return t.Item })
	return list
}

// refuseUnservable refuses at once whoever will not get a place in time at the present rate. The caller holds mu.
func (k *desk) refuseUnservable(now time.Time, waiting []*ticket, ahead int) {
	rate := k.rate(now)
	if rate <= 0 {
		return
	}
	for i, t := range waiting {
		start := now.Add(time.Duration(float64(ahead+i) / rate * float64(time.Second)))
		if start.After(t.Latest) {
			k.refuse(t, "no engine will have room in time", k.returnAfter(now, ahead+i))
		}
	}
}

// rate returns the places given in a second, 0 if too few are known.
func (k *desk) rate(now time.Time) float64 {
	if len(k.placed) < placings {
		return 0
	}
	took := now.Sub(k.placed[0]).Seconds()
	if took <= 0 {
		return 0
	}
	return float64(len(k.placed)) / took
}

// returnAfter predicts when those ahead have their places, and spreads the returns.
func (k *desk) returnAfter(now time.Time, ahead int) time.Duration {
	wait := maxReturn
	if rate := k.rate(now); rate > 0 {
		wait = time.Duration(float64(ahead+1) / rate * float64(time.Second))
	}
	wait = min(max(wait, minReturn), maxReturn)
	return time.Duration(float64(wait) * (1 + 0.5*k.dispatcher.random().Float64()))
}

func (k *desk) refuse(t *ticket, reason string, wait time.Duration) {
	if len(t.answer) > 0 {
		return
	}
	t.answer <- wire.PlaceAnswer{State: stateRefused, Reason: reason, Wait: int(wait.Milliseconds())}
}

// resize takes the engines' sizes from the configuration and forgets engines that are gone. The caller holds mu.
func (k *desk) resize() {
	service, ok := k.dispatcher.Describe(k.service)
	if !ok || service.Engine == nil {
		return
	}
	listed := make(map[string]bool)
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage != enroller.Prefill {
			listed[e.ID] = true
			k.packer.Resize(e.ID, service.Engine.Memory, service.Engine.Slots)
		}
	}
	for _, name := range k.packer.Engines() {
		if !listed[name] {
			k.packer.Forget(name)
		}
	}
}
