// Package discoverer tracks the endpoints announced in the platform's store, with their health as observed by calls.
package discoverer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	enroller.Endpoint
	inFlight atomic.Int64
	mu       sync.Mutex
	health   ejector.Health
	// pausedUntil is the end of the pause in calls from this host that the endpoint requested.
	pausedUntil time.Time
	limit       throttler.Limit
	// unpermitted counts the recent requests from this host that the owner of the service has not permitted.
	unpermitted throttler.Recent
}

// InFlight returns the number of calls from this host in progress.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// Begin counts a call as in flight until the returned function is called.
func (e *Endpoint) Begin() func() {
	e.inFlight.Add(1)
	return func() { e.inFlight.Add(-1) }
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

// Discoverer tracks the endpoints in the store's topic.
type Discoverer struct {
	// onRemoved is called with each endpoint that was removed or restarted.
	onRemoved func(id string)
	// onLeaving is called with each endpoint that announces in an answer that it is leaving.
	onLeaving func(*Endpoint)
	// onVersionChanged is called with an endpoint that has started again with another version of its software.
	onVersionChanged func(enroller.Endpoint)
	// countNotice counts the notices of endpoints by kind.
	countNotice func(kind string)
	// onLimit is called with each endpoint whose limit has changed, and whether another host has reported that.
	onLimit  func(ep *Endpoint, isReported bool)
	decode   Decode
	clock    clockwork.Clock
	logs     hclog.Logger
	mu       sync.Mutex
	registry *enroller.Registry
	known    map[string]*Endpoint
	index    atomic.Pointer[index]
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
	byID      map[string]*Endpoint
}

// New returns a Discoverer without endpoints. With a nil decode function, Record must not be called with a value.
func New(decode Decode, clock clockwork.Clock, logs hclog.Logger) *Discoverer {
	d := &Discoverer{
		decode: decode, clock: clock, logs: logs, registry: enroller.New(),
		known: make(map[string]*Endpoint), leaving: make(map[string]leavingMark), ready: make(chan struct{}),
		onRemoved: func(string) {}, onVersionChanged: func(enroller.Endpoint) {}, onLeaving: func(*Endpoint) {}, countNotice: func(string) {}, onLimit: func(*Endpoint, bool) {},
	}
	d.index.Store(&index{})
	return d
}

// OnRemoved sets a callback for each endpoint that was removed or restarted. It must be called before the first record.
func (d *Discoverer) OnRemoved(f func(id string)) { d.onRemoved = f }

// OnLeaving sets a callback for each endpoint that announces in an answer that it is leaving. It must be called before the
// first record.
func (d *Discoverer) OnLeaving(f func(*Endpoint)) { d.onLeaving = f }

// OnVersionChanged sets a callback for each endpoint that has started again under its ID with another version of its software. It
// must be called before the first record.
func (d *Discoverer) OnVersionChanged(f func(enroller.Endpoint)) { d.onVersionChanged = f }

// OnLimit sets a callback for each endpoint whose rate limit has changed. It must be called before the first record.
func (d *Discoverer) OnLimit(f func(ep *Endpoint, isReported bool)) { d.onLimit = f }

// SetMetrics counts the notices of endpoints in scope. It must be called before the first record.
func (d *Discoverer) SetMetrics(scope tally.Scope) {
	d.countNotice = func(kind string) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("endpoint_notices").Inc(1)
	}
}

// Ready returns a channel that is closed after the first complete listing.
func (d *Discoverer) Ready() <-chan struct{} { return d.ready }

// Service returns the endpoints of a service that are not leaving.
func (d *Discoverer) Service(name string) []*Endpoint { return d.index.Load().byService[name] }

// Services returns the names of the services with endpoints that are not leaving.
func (d *Discoverer) Services() []string {
	return slices.Collect(maps.Keys(d.index.Load().byService))
}

// Find returns the endpoint of a service with the given ID, nil if there is none or it is leaving.
func (d *Discoverer) Find(service, id string) *Endpoint {
	for _, ep := range d.Service(service) {
		if ep.ID == id {
			return ep
		}
	}
	return nil
}

// Incarnation returns the start of the listed incarnation of an endpoint, zero if it is not listed.
func (d *Discoverer) Incarnation(id string) time.Time {
	if ep := d.index.Load().byID[id]; ep != nil {
		return ep.IncarnationStart
	}
	return time.Time{}
}

// Record applies one record of the topic. An empty value removes the endpoint.
func (d *Discoverer) Record(r tailer.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Value) == 0 {
		d.registry.Remove(d.clock.Now(), r.Key, r.Offset)
		d.rebuild(r.Offset)
		return
	}
	ep, err := d.decode(r.Key, r.Value)
	if err != nil {
		eventlogger.Warn(d.logs, eventlogger.RecordInvalid, "offset", r.Offset, "key", r.Key, "error", err.Error())
		d.registry.Invalidate(r.Key, r.Offset)
		d.rebuild(r.Offset)
		return
	}
	d.put(ep, r.Offset)
}

// Put adds or updates an endpoint. The offsets of a source must be increasing.
func (d *Discoverer) Put(ep enroller.Endpoint, offset uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(ep, offset)
}

func (d *Discoverer) put(ep enroller.Endpoint, offset uint64) {
	if d.registry.Put(ep, offset) && !isUnchanged(d.known[ep.ID], d.applyLeaving(ep)) {
		d.rebuild(offset)
	}
}

// Listed removes the endpoints that are missing from a complete listing.
func (d *Discoverer) Listed(keys map[string]bool, end uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Retain(d.clock.Now(), keys, end)
	d.rebuild(end)
	d.once.Do(func() { close(d.ready) })
}

// LostFor returns how long the store has been unreachable, 0 while it is reachable.
func (d *Discoverer) LostFor() time.Duration {
	at := d.lostAt.Load()
	if at == 0 {
		return 0
	}
	return d.clock.Now().Sub(time.Unix(0, at))
}

// expiryInterval is the time between checks for expired entries. The reads of the store alone would be too far apart for
// the time limit on leaving endpoints.
const expiryInterval = 200 * time.Millisecond

// Run removes the entries that expired during a store outage and were not renewed after it, until ctx ends.
func (d *Discoverer) Run(ctx context.Context) {
	ticker := d.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.expire()
		}
	}
}

func (d *Discoverer) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.registry.Expire(d.clock.Now())) > 0 {
		d.rebuild(0)
	}
}

// Lost records that the store is unreachable.
func (d *Discoverer) Lost(error) {
	d.lostAt.CompareAndSwap(0, d.clock.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Lost()
}

// Regained records that the store is reachable again.
func (d *Discoverer) Regained() {
	d.lostAt.Store(0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Regained(d.clock.Now())
}

// rebuild publishes a new index and logs the changes. The caller holds mu.
func (d *Discoverer) rebuild(offset uint64) {
	next := &index{byService: make(map[string][]*Endpoint), byAddress: make(map[netip.AddrPort]*Endpoint), byID: make(map[string]*Endpoint)}
	seen := make(map[string]bool)
	for _, ep := range d.registry.All() {
		ep = d.applyLeaving(ep)
		seen[ep.ID] = true
		old := d.known[ep.ID]
		known := d.nextEndpoint(old, ep, offset)
		d.known[ep.ID] = known
		next.byAddress[ep.Address] = known
		next.byID[ep.ID] = known
		if !ep.Leaving {
			next.byService[ep.Service] = append(next.byService[ep.Service], known)
		}
	}
	for id, old := range d.known {
		if !seen[id] {
			delete(d.known, id)
			go d.onRemoved(id)
			eventlogger.Info(d.logs, eventlogger.EndpointRemoved, "endpoint", id, "service", old.Service, "offset", offset)
		}
	}
	d.evictLeavingMarks()
	d.index.Store(next)
}

// applyLeaving marks ep as leaving if its incarnation announced so, as its entry may be older than that. The caller holds
// mu.
func (d *Discoverer) applyLeaving(ep enroller.Endpoint) enroller.Endpoint {
	if m, ok := d.leaving[ep.ID]; ok && m.incarnationStart.Equal(ep.IncarnationStart) {
		ep.Leaving = true
	}
	return ep
}

// isUnchanged reports whether ep equals the known endpoint, as in most announcements, which only renew the entry.
func isUnchanged(old *Endpoint, ep enroller.Endpoint) bool {
	return old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address && old.Service == ep.Service &&
		old.Version == ep.Version && old.Stage == ep.Stage && old.Leaving == ep.Leaving
}

// nextEndpoint returns old with its in-flight calls if ep is unchanged, or a new endpoint. The new one keeps health,
// pause and limit if it is the same incarnation at the same address.
func (d *Discoverer) nextEndpoint(old *Endpoint, ep enroller.Endpoint, offset uint64) *Endpoint {
	if isUnchanged(old, ep) {
		return old
	}
	next := &Endpoint{Endpoint: ep}
	if old != nil && !old.IncarnationStart.Equal(ep.IncarnationStart) {
		go d.onRemoved(ep.ID)
		if old.Version != ep.Version {
			go d.onVersionChanged(ep)
		}
	}
	if old != nil && old.IncarnationStart.Equal(ep.IncarnationStart) && old.Address == ep.Address {
		old.UpdateHealth(func(h *ejector.Health) { next.health = *h })
		old.copyNotices(next)
	}
	eventlogger.Info(d.logs, eventlogger.EndpointListed, "endpoint", ep.ID, "service", ep.Service, "address", ep.Address,
		"zone", ep.DataCentre, "version", ep.Version, "stage", ep.Stage.String(), "leaving", ep.Leaving, "offset", offset)
	return next
}
