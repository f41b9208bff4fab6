// Package enlister tracks the endpoints announced in the platform's store, with their health as observed by calls.
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
	// pausedUntil is the end of the pause in calls from this host that the endpoint requested.
	pausedUntil time.Time
}

// InFlight returns the number of calls from this host in progress.
func (e *Endpoint) InFlight() int { return int(e.inflight.Load()) }

// Begin counts a call as in flight until the returned function is called.
func (e *Endpoint) Begin() func() {
	e.inflight.Add(1)
	return func() { e.inflight.Add(-1) }
}

// UpdateHealth calls f with the endpoint's health while holding its lock.
func (e *Endpoint) UpdateHealth(f func(*ejector.Health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.health)
}

// IsEjected reports whether the endpoint is excluded from calls at now.
func (e *Endpoint) IsEjected(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.IsEjected(now)
}

// IsFailing reports whether enough calls have failed in a row to eject the endpoint.
func (e *Endpoint) IsFailing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.IsFailing()
}

// Cost returns the expected duration of one more call, raised by the failure rate. It uses unknown if no latency has been
// measured.
func (e *Endpoint) Cost(unknown time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.Cost(e.InFlight(), unknown)
}

// Decode parses the value of a store record.
type Decode func(id string, value []byte) (enroller.Endpoint, error)

// Enlister tracks the endpoints in the store's topic.
type Enlister struct {
	// onRemoved is called with each endpoint that was removed or restarted.
	onRemoved func(id string)
	// onLeaving is called with each endpoint that announces in an answer that it is leaving.
	onLeaving func(*Endpoint)
	// countNotice counts the notices of endpoints by kind.
	countNotice func(kind string)
	decode      Decode
	clock       clockwork.Clock
	logs        hclog.Logger
	mu          sync.Mutex
	registry    *enroller.Registry
	known       map[string]*Endpoint
	index       atomic.Pointer[index]
	// leaving holds the incarnations that announced that they are leaving, by endpoint.
	leaving map[string]leavingMark
	ready   chan struct{}
	once    sync.Once
	// lostAt is when the store became unreachable, in Unix nanoseconds; 0 while it is reachable.
	lostAt atomic.Int64
}

// index is an immutable snapshot of the endpoints for lookups without a lock.
type index struct {
	// byService excludes leaving endpoints.
	byService map[string][]*Endpoint
	byAddress map[netip.AddrPort]*Endpoint
}

// New returns an Enlister without endpoints. With a nil decode function, Record must not be called with a value.
func New(decode Decode, clock clockwork.Clock, logs hclog.Logger) *Enlister {
	e := &Enlister{
		decode: decode, clock: clock, logs: logs, registry: enroller.New(),
		known: make(map[string]*Endpoint), leaving: make(map[string]leavingMark), ready: make(chan struct{}),
		onRemoved: func(string) {}, onLeaving: func(*Endpoint) {}, countNotice: func(string) {},
	}
	e.index.Store(&index{})
	return e
}

// OnRemoved sets a callback for each endpoint that was removed or restarted. It must be called before the first record.
func (e *Enlister) OnRemoved(f func(id string)) { e.onRemoved = f }

// OnLeaving sets a callback for each endpoint that announces in an answer that it is leaving. It must be called before the
// first record.
func (e *Enlister) OnLeaving(f func(*Endpoint)) { e.onLeaving = f }

// SetMetrics counts the notices of endpoints in scope. It must be called before the first record.
func (e *Enlister) SetMetrics(scope tally.Scope) {
	e.countNotice = func(kind string) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("endpoint_notices").Inc(1)
	}
}

// Ready returns a channel that is closed after the first complete listing.
func (e *Enlister) Ready() <-chan struct{} { return e.ready }

// Service returns the endpoints of a service that are not leaving.
func (e *Enlister) Service(name string) []*Endpoint { return e.index.Load().byService[name] }

// Find returns the endpoint of a service with the given ID, nil if there is none or it is leaving.
func (e *Enlister) Find(service, id string) *Endpoint {
	for _, ep := range e.Service(service) {
		if ep.ID == id {
			return ep
		}
	}
	return nil
}

// Record applies one record of the topic. An empty value removes the endpoint.
func (e *Enlister) Record(r tailer.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(r.Value) == 0 {
		e.registry.Remove(e.clock.Now(), r.Key, r.Offset)
		e.rebuild(r.Offset)
		return
	}
	ep, err := e.decode(r.Key, r.Value)
	if err != nil {
		eventer.Warn(e.logs, eventer.RecordInvalid, "offset", r.Offset, "key", r.Key, "error", err.Error())
		e.registry.Invalidate(r.Key, r.Offset)
		e.rebuild(r.Offset)
		return
	}
	e.put(ep, r.Offset)
}

// Put adds or updates an endpoint. The offsets of a source must be increasing.
func (e *Enlister) Put(ep enroller.Endpoint, offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.put(ep, offset)
}

func (e *Enlister) put(ep enroller.Endpoint, offset uint64) {
	if e.registry.Put(ep, offset) && !isUnchanged(e.known[ep.ID], e.applyLeaving(ep)) {
		e.rebuild(offset)
	}
}

// Listed removes the endpoints that are missing from a complete listing.
func (e *Enlister) Listed(keys map[string]bool, end uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Retain(e.clock.Now(), keys, end)
	e.rebuild(end)
	e.once.Do(func() { close(e.ready) })
}

// LostFor returns how long the store has been unreachable, 0 while it is reachable.
func (e *Enlister) LostFor() time.Duration {
	at := e.lostAt.Load()
	if at == 0 {
		return 0
	}
	return e.clock.Now().Sub(time.Unix(0, at))
}

// expiryInterval is the time between checks for expired entries. The reads of the store alone would be too far apart for
// the time limit on leaving endpoints.
const expiryInterval = 200 * time.Millisecond

// Run removes the entries that expired during a store outage and were not renewed after it, until ctx ends.
func (e *Enlister) Run(ctx context.Context) {
	ticker := e.clock.NewTicker(expiryInterval)
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
	if len(e.registry.Expire(e.clock.Now())) > 0 {
		e.rebuild(0)
	}
}

// Lost records that the store is unreachable.
func (e *Enlister) Lost(error) {
	e.lostAt.CompareAndSwap(0, e.clock.Now().UnixNano())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Lost()
}

// Regained records that the store is reachable again.
func (e *Enlister) Regained() {
	e.lostAt.Store(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registry.Regained(e.clock.Now())
}

// rebuild publishes a new index and logs the changes. The caller holds mu.
func (e *Enlister) rebuild(offset uint64) {
	next := &index{byService: make(map[string][]*Endpoint), byAddress: make(map[netip.AddrPort]*Endpoint)}
	seen := make(map[string]bool)
	for _, ep := range e.registry.All() {
		ep = e.applyLeaving(ep)
		seen[ep.ID] = true
		old := e.known[ep.ID]
		known := e.nextEndpoint(old, ep, offset)
		e.known[ep.ID] = known
		next.byAddress[ep.Address] = known
		if !ep.Leaving {
			next.byService[ep.Service] = append(next.byService[ep.Service], known)
		}
	}
	for id, old := range e.known {
		if !seen[id] {
			delete(e.known, id)
			go e.onRemoved(id)
			eventer.Info(e.logs, eventer.EndpointRemoved, "endpoint", id, "service", old.Service, "offset", offset)
		}
	}
	e.evictLeavingMarks()
	e.index.Store(next)
}

// applyLeaving marks ep as leaving if its incarnation announced so, as its entry may be older than that. The caller holds
// mu.
func (e *Enlister) applyLeaving(ep enroller.Endpoint) enroller.Endpoint {
	if m, ok := e.leaving[ep.ID]; ok && m.incarnationStart.Equal(ep.IncarnationStart) {
		ep.Leaving = true
	}
	return ep
}

// isUnchanged reports whether ep equals the known endpoint, as in most announcements, which only renew the entry.
func isUnchanged(old *Endpoint, ep enroller.Endpoint) bool {
	return old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address && old.Service == ep.Service &&
		old.Stage == ep.Stage && old.Leaving == ep.Leaving
}

// nextEndpoint returns old with its in-flight calls if ep is unchanged, or a new endpoint. The new one keeps health and
// pause if it is the same incarnation at the same address.
func (e *Enlister) nextEndpoint(old *Endpoint, ep enroller.Endpoint, offset uint64) *Endpoint {
	if isUnchanged(old, ep) {
		return old
	}
	next := &Endpoint{Endpoint: ep}
	if old != nil && !old.IncarnationStart.Equal(ep.IncarnationStart) {
		go e.onRemoved(ep.ID)
	}
	if old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address {
		old.UpdateHealth(func(h *ejector.Health) { next.health = *h })
		next.pausedUntil = old.PausedUntil()
	}
	eventer.Info(e.logs, eventer.EndpointListed, "endpoint", ep.ID, "service", ep.Service, "address", ep.Address,
		"zone", ep.DataCentre, "stage", ep.Stage.String(), "leaving", ep.Leaving, "offset", offset)
	return next
}
