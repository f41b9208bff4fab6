package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/transport/enlister"
)

const (
	// holdTimeout bounds a call for a hold; engines answer it without work.
	holdTimeout = 200 * time.Millisecond
	// askPause is the time between two rounds of asking for holds while requests wait.
	askPause = 15 * time.Millisecond
	// refusalMemory is how long an engine is not asked again for as much as it refused.
	refusalMemory = 40 * time.Millisecond
	// usualLead is the time from a hold to the first event before any was measured.
	usualLead = 250 * time.Millisecond
	// leadWeight is the part that the newest lead has in the moving average.
	leadWeight = 0.1
	// waitShare is the part of the time left that a request may wait for memory.
	waitShare = 0.35
	// returnPause is what a refused caller is told to wait, as a multiple of the usual time to the first event.
	returnPause = 4
)

// place is a hold at a decode engine.
type place struct {
	engine *enlister.Endpoint
	hold   string
	until  time.Time
	leave  func()
}

// waiter is a request that waits for a place. It is answered once.
type waiter struct {
	queuer.Item
	ctx    context.Context
	j      *job
	placed chan place
}

// refusal is the least need that an engine has refused lately.
type refusal struct {
	need int
	at   time.Time
}

// room is where requests of a service wait for memory at its decode engines.
type room struct {
	router  *Router
	service string
	mu      sync.Mutex
	waiters []*waiter
	running bool
	lead    time.Duration
	wake    chan struct{}
	refused map[string]refusal
}

func (x *Router) room(j *job) *room {
	x.mu.Lock()
	defer x.mu.Unlock()
	name := j.service.Name
	if x.rooms[name] == nil {
		x.rooms[name] = &room{
			router: x, service: name, lead: usualLead, wake: make(chan struct{}, 1), refused: make(map[string]refusal),
		}
	}
	return x.rooms[name]
}

// wait returns a place for j, or the final answer if none can be had in time.
func (m *room) wait(ctx context.Context, j *job, need int) (place, *ending) {
	now := m.router.Clock.Now()
	w := &waiter{ctx: ctx, j: j, placed: make(chan place, 1)}
	w.Item = queuer.Item{
		Priority: j.route.Priority, Arrived: j.started, Need: need,
		OnTime: j.started.Add(j.route.Target - m.usualLead()),
		Latest: now.Add(time.Duration(waitShare * float64(j.left(now)))),
	}
	m.add(w)
	timer := m.router.Clock.NewTimer(w.Latest.Sub(now))
	defer timer.Stop()
	select {
	case p := <-w.placed:
		return m.take(w, p), nil
	case <-timer.Chan():
	case <-ctx.Done():
	}
	if !m.remove(w) {
		// The place was granted at the same moment.
		return m.take(w, <-w.placed), nil
	}
	j.trace.set("waited_ms", m.router.Clock.Now().Sub(now).Milliseconds())
	j.trace.set("need", need)
	return place{}, &ending{status: http.StatusServiceUnavailable, reason: "no engine has room", wait: m.pause()}
}

func (m *room) take(w *waiter, p place) place {
	w.j.trace.set("waited_ms", m.router.Clock.Now().Sub(w.j.started).Milliseconds())
	w.j.trace.set("need", w.Need)
	p.engine.Tokens.Add(int64(w.Need))
	p.leave = func() { p.engine.Tokens.Add(-int64(w.Need)) }
	return p
}

func (m *room) usualLead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lead
}

// pause spreads the returns of refused callers.
func (m *room) pause() time.Duration {
	return time.Duration(returnPause * float64(m.usualLead()) * (0.75 + 0.5*rand.Float64()))
}

func (m *room) add(w *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiters = append(m.waiters, w)
	if !m.running {
		m.running = true
		go m.run()
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// remove tells whether w was still waiting.
func (m *room) remove(w *waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.waiters {
		if other == w {
			m.waiters = append(m.waiters[:i], m.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// run asks for places until nobody waits.
func (m *room) run() {
	for {
		waiting := m.order()
		if waiting == nil {
			return
		}
		m.round(waiting)
		select {
		case <-m.wake:
		case <-m.router.Clock.After(askPause):
		}
	}
}

// order returns those who wait in the order of service, nil if the room is empty and run ends.
func (m *room) order() []*waiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiters) == 0 {
		m.running = false
		return nil
	}
	waiting := append([]*waiter(nil), m.waiters...)
	queuer.Sort(m.router.Clock.Now(), waiting, func(w *waiter) queuer.Item { return w.Item })
	return waiting
}

// round asks once for each waiter. Late ones are asked for only if no one in time is left waiting.
func (m *room) round(waiting []*waiter) {
	missed := false
	for _, w := range waiting {
		if missed && w.IsLate(m.router.Clock.Now()) {
			return
		}
		if w.ctx.Err() != nil {
			continue
		}
		p, ok := m.ask(w)
		if !ok {
			missed = true
			continue
		}
		if m.remove(w) {
			w.placed <- p
			continue
		}
		m.router.release(nil, p)
	}
}

// ask asks decode engines for a hold until one grants it.
func (m *room) ask(w *waiter) (place, bool) {
	x := m.router
	lifetime := w.j.service.Engine.MaxHold
	for _, e := range m.candidates(w) {
		ctx, cancel := context.WithTimeout(w.ctx, holdTimeout)
		begun := x.Clock.Now()
		hold, err := x.Engines.Hold(ctx, e.Address, w.Need, lifetime)
		cancel()
		if err == nil {
			x.meters.holds.Inc(1)
			return place{engine: e, hold: hold, until: begun.Add(lifetime)}, true
		}
		x.meters.refused.Inc(1)
		m.note(w, e, err)
		if w.ctx.Err() != nil {
			return place{}, false
		}
	}
	return place{}, false
}

func (m *room) note(w *waiter, e *enlister.Endpoint, err error) {
	now := m.router.Clock.Now()
	var full *FullError
	if errors.As(err, &full) {
		m.refused[e.ID] = refusal{need: w.Need, at: now}
		return
	}
	if w.ctx.Err() == nil {
		m.router.logSend(w.j, e, "not sent", "no hold: "+err.Error())
		e.Judge(func(h *ejector.Health) { h.Refused(now) })
	}
}

// candidates are the decode engines to ask, those with the least asked of them by this host first.
func (m *room) candidates(w *waiter) []*enlister.Endpoint {
	now := m.router.Clock.Now()
	var list []*enlister.Endpoint
	for _, e := range m.router.Endpoints.Service(m.service) {
		if e.Stage == enroller.Prefill || e.IsEjected(now) {
			continue
		}
		if r, ok := m.refused[e.ID]; ok && now.Sub(r.at) < refusalMemory && w.Need >= r.need {
			continue
		}
		list = append(list, e)
	}
	random := m.router.random()
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].Tokens.Load() < list[j].Tokens.Load() })
	return list
}

// started learns how long it took from a hold to the first event.
func (m *room) started(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lead += time.Duration(leadWeight * float64(took-m.lead))
}
