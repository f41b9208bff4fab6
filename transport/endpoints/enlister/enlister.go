// Package enlister keeps the endpoints that announce themselves in the platform's store, with what calls to them show.
package enlister

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	enroller.Endpoint
	inflight atomic.Int64
	mu       sync.Mutex
	health   ejector.Health
	// pausedUntil is until when the endpoint wants nothing from this host.
	pausedUntil time.Time
}

// InFlight returns the number of calls of this host under way.
func (e *Endpoint) InFlight() int { return int(e.inflight.Load()) }

// Begin counts a call until the returned function is called.
func (e *Endpoint) Begin() func() {
	e.inflight.Add(1)
	return func() { e.inflight.Add(-1) }
}

// Judge changes or reads the endpoint's health under its lock.
func (e *Endpoint) Judge(f func(*ejector.Health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.health)
}

// IsEjected tells whether the endpoint is left alone at now.
func (e *Endpoint) IsEjected(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.IsEjected(now)
}

// IsFailing tells whether calls have failed and none has succeeded since.
func (e *Endpoint) IsFailing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.IsFailing()
}

// Cost is the expected time of one more call.
func (e *Endpoint) Cost(unknown time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.Cost(e.InFlight(), unknown)
}

// Decode turns a record into an endpoint.
type Decode func(id string, value []byte) (enroller.Endpoint, error)

// Enlister follows the endpoints' topic.
type Enlister struct {
	// onGone is told of endpoints that are gone, or back as another incarnation.
	onGone func(id string)
	// onLeaving is told of endpoints that say beside an answer that they leave.
	onLeaving func(*Endpoint)
	// count counts what endpoints say of themselves, by kind.
	count  func(kind string)
	decode Decode
	clock  clockwork.Clock
	logs   hclog.Logger
	mu     sync.Mutex
	list   *enroller.Registry
	known  map[string]*Endpoint
	index  atomic.Pointer[index]
	// departed are the incarnations that have said that they leave.
	departed map[string]departure
	ready    chan struct{}
	once     sync.Once
	// lostAt is when the store went out of reach, in nanoseconds; 0 while it answers.
	lostAt atomic.Int64
}

// index finds the endpoints of one moment.
type index struct {
	// byService has those that do not leave.
	byService map[string][]*Endpoint
	byAddress map[netip.AddrPort]*Endpoint
}

// New returns an empty list. Without a decode function it takes no records.
func New(decode Decode, clock clockwork.Clock, logs hclog.Logger) *Enlister {
	e := &Enlister{
		decode: decode, clock: clock, logs: logs, list: enroller.New(),
		known: make(map[string]*Endpoint), departed: make(map[string]departure), ready: make(chan struct{}),
		onGone: func(string) {}, onLeaving: func(*Endpoint) {}, count: func(string) {},
	}
	e.index.Store(&index{})
	return e
}

// OnGone has f told of each endpoint that is gone or has started anew. It is set before records come.
func (e *Enlister) OnGone(f func(id string)) { e.onGone = f }

// OnLeaving has f told of each endpoint that says beside an answer that it leaves. It is set before records come.
func (e *Enlister) OnLeaving(f func(*Endpoint)) { e.onLeaving = f }

// Measure has what endpoints say of themselves counted. It is set before records come.
func (e *Enlister) Measure(scope tally.Scope) {
	e.count = func(kind string) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("endpoint_notices").Inc(1)
	}
}

// Ready is closed once the list has been read.
func (e *Enlister) Ready() <-chan struct{} { return e.ready }

// Service returns the endpoints of a service that do not leave.
func (e *Enlister) Service(name string) []*Endpoint { return e.index.Load().byService[name] }

// Find returns an endpoint of a service that does not leave, nil if there is none of that ID.
func (e *Enlister) Find(service, id string) *Endpoint {
	for _, ep := range e.Service(service) {
		if ep.ID == id {
			return ep
		}
	}
	return nil
}

// Record takes one record of the topic.
func (e *Enlister) Record(r tailer.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(r.Value) == 0 {
		e.list.Remove(e.clock.Now(), r.Key, r.Offset)
		e.rebuild(r.Offset)
		return
	}
	ep, err := e.decode(r.Key, r.Value)
	if err != nil {
		eventer.Warn(e.logs, eventer.RecordDamaged, "offset", r.Offset, "key", r.Key, "error", err.Error())
		e.list.Invalidate(r.Key, r.Offset)
		e.rebuild(r.Offset)
		return
	}
	e.put(ep, r.Offset)
}

// Put takes an endpoint as a source tells of it. Offsets of the source rise.
func (e *Enlister) Put(ep enroller.Endpoint, offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.put(ep, offset)
}

func (e *Enlister) put(ep enroller.Endpoint, offset uint64) {
	if e.list.Put(ep, offset) && !isSame(e.known[ep.ID], e.correct(ep)) {
		e.rebuild(offset)
	}
}

// Listed takes out the endpoints that a full reading did not find.
func (e *Enlister) Listed(keys map[string]bool, end uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.Retain(e.clock.Now(), keys, end)
	e.rebuild(end)
	e.once.Do(func() { close(e.ready) })
}

// LostFor returns how long the store has been out of reach, 0 while it answers.
func (e *Enlister) LostFor() time.Duration {
	at := e.lostAt.Load()
	if at == 0 {
		return 0
	}
	return e.clock.Now().Sub(time.Unix(0, at))
}

// expiryPeriod is how often lapsed entries are looked at. Readings of the store are further apart than what is left of the
// bound on leaving endpoints.
const expiryPeriod = 200 * time.Millisecond

// Run drops the entries that lapsed in an outage and did not come back, until ctx ends.
func (e *Enlister) Run(ctx context.Context) {
	ticker := e.clock.NewTicker(expiryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.expire()
		}
	}
}

func (e *Enlister) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.list.Expire(e.clock.Now())) > 0 {
		e.rebuild(0)
	}
}

// Lost notes that the store is out of reach.
func (e *Enlister) Lost(error) {
	e.lostAt.CompareAndSwap(0, e.clock.Now().UnixNano())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.Lost()
}

// Regained notes that the store answers.
func (e *Enlister) Regained() {
	e.lostAt.Store(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.Regained(e.clock.Now())
}

// rebuild publishes the list anew and logs what changed. The caller holds mu.
func (e *Enlister) rebuild(offset uint64) {
	next := &index{byService: make(map[string][]*Endpoint), byAddress: make(map[netip.AddrPort]*Endpoint)}
	seen := make(map[string]bool)
	for _, ep := range e.list.All() {
		ep = e.correct(ep)
		seen[ep.ID] = true
		old := e.known[ep.ID]
		known := e.follow(old, ep, offset)
		e.known[ep.ID] = known
		next.byAddress[ep.Address] = known
		if !ep.Leaving {
			next.byService[ep.Service] = append(next.byService[ep.Service], known)
		}
	}
	for id, old := range e.known {
		if !seen[id] {
			delete(e.known, id)
			go e.onGone(id)
			eventer.Info(e.logs, eventer.EndpointGone, "endpoint", id, "service", old.Service, "offset", offset)
		}
	}
	e.forgetDepartures()
	e.index.Store(next)
}

// correct returns ep as it is known to be: its entry may be older than what it has said of itself. The caller holds mu.
func (e *Enlister) correct(ep enroller.Endpoint) enroller.Endpoint {
	if d, ok := e.departed[ep.ID]; ok && d.born.Equal(ep.IncarnationStart) {
		ep.Leaving = true
	}
	return ep
}

// isSame tells whether ep says nothing new of an endpoint, as most announcements do.
func isSame(old *Endpoint, ep enroller.Endpoint) bool {
	return old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address && old.Service == ep.Service &&
		old.Stage == ep.Stage && old.Leaving == ep.Leaving
}

// follow returns the endpoint for ep: the old one with its counts, unless it is another incarnation or has changed.
func (e *Enlister) follow(old *Endpoint, ep enroller.Endpoint, offset uint64) *Endpoint {
	if isSame(old, ep) {
		return old
	}
	next := &Endpoint{Endpoint: ep}
	if old != nil && !old.IncarnationStart.Equal(ep.IncarnationStart) {
		go e.onGone(ep.ID)
	}
	if old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address {
		old.Judge(func(h *ejector.Health) { next.health = *h })
		next.pausedUntil = old.PausedUntil()
	}
	eventer.Info(e.logs, eventer.EndpointChanged, "endpoint", ep.ID, "service", ep.Service, "address", ep.Address,
		"zone", ep.DataCentre, "stage", ep.Stage.String(), "leaving", ep.Leaving, "offset", offset)
	return next
}
