// Package watcher tracks the endpoints of all pools with their state and load.
//
// The host list lags, so an endpoint that any source reported as leaving stays so even if the list still has it as live.
package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/state/sharder"
	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// loadTimeout limits one request for a load report.
	loadTimeout = time.Second
	// maxLoadBytes limits the size of one load report.
	maxLoadBytes = 64 << 10
	// remotePollRounds is the number of load periods between two polls of an engine that this host does not own.
	remotePollRounds = 60
	// downInterval is how long an endpoint that refused a connection gets no work.
	downInterval = 2 * time.Second
)

// Endpoint is an endpoint with the state and load known to this host.
type Endpoint struct {
	Name       string
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
	// Load is the last report of an engine, received at LoadAt, which is zero if there is none.
	Load   completer.Load
	LoadAt time.Time
	// InFlight is the number of requests of this host in progress; Tokens counts the prompt tokens sent since LoadAt.
	InFlight int
	Tokens   int
	// FreeAt is the time at which a prefill engine will have emptied its queue, as last estimated by its owner.
	FreeAt    time.Time
	downUntil time.Time
}

// Options are the settings of a Watcher.
type Options struct {
	Hosts *hostlistclient.Client
	// ListInterval is the time between two polls of the host list.
	ListInterval time.Duration
	// LoadInterval is the time between two polls of an engine's load.
	LoadInterval time.Duration
	// IsEngine reports whether the endpoints of a pool report load.
	IsEngine func(pool string) bool
	// IsOwned reports whether this host keeps the reservations of an engine for all hosts. Other engines are polled
	// rarely.
	IsOwned func(name string) bool
	// OnListing is called with each listing.
	OnListing func(l hostlistclient.Listing)
	// OnReport is called after each load report.
	OnReport func(e Endpoint)
	Clock    clockwork.Clock
	Logs     hclog.Logger
}

// Watcher polls the host list and the engines.
type Watcher struct {
	options   Options
	http      *dialer.Client
	endpoints *sharder.Map[string, Endpoint]
	mu        sync.Mutex
	pools     map[string][]string
	ready     chan struct{}
	once      sync.Once
	pollRound int
	done      chan struct{}
}

// New returns a Watcher without endpoints.
func New(o Options) *Watcher {
	return &Watcher{
		options:   o,
		http:      dialer.New("load", nil),
		endpoints: sharder.New[string, Endpoint](xxhash.Sum64String),
		pools:     make(map[string][]string),
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// Done returns a channel that is closed once Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Ready returns a channel that is closed after the first listing.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	hosts := w.options.Clock.NewTicker(w.options.ListInterval)
	defer hosts.Stop()
	loads := w.options.Clock.NewTicker(w.options.LoadInterval)
	defer loads.Stop()
	w.pollHosts(ctx)
	w.pollLoads(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hosts.Chan():
			w.pollHosts(ctx)
		case <-loads.Chan():
			w.pollLoads(ctx)
		}
	}
}

func (w *Watcher) pollHosts(ctx context.Context) {
	listing, err := w.options.Hosts.Get(ctx)
	if err != nil {
		return
	}
	w.merge(listing)
	if w.options.OnListing != nil {
		w.options.OnListing(listing)
	}
	w.once.Do(func() { close(w.ready) })
}

func (w *Watcher) merge(l hostlistclient.Listing) {
	pools := make(map[string][]string)
	present := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		present[e.Name] = true
		pools[e.Pool] = append(pools[e.Pool], e.Name)
		w.endpoints.Update(e.Name, func(old Endpoint, ok bool) (Endpoint, bool) {
			return mergeEndpoint(old, ok, e), true
		})
	}
	w.mu.Lock()
	previous := slices.Concat(slices.Collect(maps.Values(w.pools))...)
	w.pools = pools
	w.mu.Unlock()
	for _, name := range previous {
		if !present[name] {
			w.endpoints.Delete(name)
		}
	}
}

// mergeEndpoint updates old from the list. An endpoint stays leaving for as long as it keeps its address.
func mergeEndpoint(old Endpoint, ok bool, e hostlistclient.Endpoint) Endpoint {
	if !ok || old.Address != e.Address {
		old = Endpoint{Name: e.Name, Address: e.Address}
	}
	old.Pool = e.Pool
	old.DataCentre = e.DataCentre
	old.Leaving = old.Leaving || e.State == hostlistclient.Leaving
	return old
}

// pollLoads polls the load of the owned engines and of those without a report in each round, that of the others every
// remotePollRounds rounds, spread by their names.
func (w *Watcher) pollLoads(ctx context.Context) {
	w.pollRound++
	var wait sync.WaitGroup
	w.endpoints.Each(func(name string, e Endpoint) {
		if !w.options.IsEngine(e.Pool) {
			return
		}
		isRemote := !e.LoadAt.IsZero() && !w.options.IsOwned(name)
		if isRemote && (w.pollRound+int(xxhash.Sum64String(name)%remotePollRounds))%remotePollRounds != 0 {
			return
		}
		wait.Go(func() { w.pollLoad(ctx, e) })
	})
	wait.Wait()
}

func (w *Watcher) pollLoad(ctx context.Context, e Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := dialer.Request(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", e.Address), nil, 0)
	if err != nil {
		return
	}
	resp, sent, err := w.http.Do(r)
	if err != nil {
		if !sent {
			w.MarkDown(e.Name)
		}
		return
	}
	defer resp.Body.Close()
	var load completer.Load
	if resp.StatusCode == http.StatusOK && json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load) == nil {
		w.Report(e.Name, load)
	}
}

// Report stores an engine's load report, polled or received with an answer.
func (w *Watcher) Report(name string, load completer.Load) {
	var e Endpoint
	var found bool
	w.endpoints.Update(name, func(old Endpoint, ok bool) (Endpoint, bool) {
		old.Load = load
		old.LoadAt = w.options.Clock.Now()
		old.Tokens = 0
		old.Leaving = old.Leaving || load.Leaving
		e, found = old, ok
		return old, ok
	})
	if found && w.options.OnReport != nil {
		w.options.OnReport(e)
	}
}

// MarkDown excludes an endpoint from new work for downInterval after it refused a connection.
func (w *Watcher) MarkDown(name string) {
	w.update(name, func(e *Endpoint) { e.downUntil = w.options.Clock.Now().Add(downInterval) })
}

// MarkLeaving excludes an endpoint from new work for as long as it keeps its address.
func (w *Watcher) MarkLeaving(name string) {
	var isFirst bool
	w.update(name, func(e *Endpoint) {
		isFirst = !e.Leaving
		e.Leaving = true
	})
	if isFirst {
		eventlogger.Info(w.options.Logs, eventlogger.EndpointLeaving, "endpoint", name)
	}
}

// Begin counts a request with the given number of prompt tokens as in flight until end is called.
func (w *Watcher) Begin(name string, tokens int) (end func()) {
	w.update(name, func(e *Endpoint) {
		e.InFlight++
		e.Tokens += tokens
	})
	return func() { w.update(name, func(e *Endpoint) { e.InFlight-- }) }
}

// SetFreeAt sets the time at which a prefill engine will have emptied its queue.
func (w *Watcher) SetFreeAt(name string, free time.Time) {
	w.update(name, func(e *Endpoint) { e.FreeAt = free })
}

func (w *Watcher) update(name string, f func(*Endpoint)) {
	w.endpoints.Update(name, func(e Endpoint, ok bool) (Endpoint, bool) {
		f(&e)
		return e, ok
	})
}

// Usable returns the endpoints of pool that may get new work, sorted by name.
func (w *Watcher) Usable(pool string) []Endpoint {
	now := w.options.Clock.Now()
	return slices.DeleteFunc(w.Pool(pool), func(e Endpoint) bool {
		return e.Leaving || now.Before(e.downUntil)
	})
}

// Pool returns all endpoints of pool, sorted by name.
func (w *Watcher) Pool(pool string) []Endpoint {
	w.mu.Lock()
	names := w.pools[pool]
	w.mu.Unlock()
	list := make([]Endpoint, 0, len(names))
	for _, name := range names {
		if e, ok := w.endpoints.Get(name); ok {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// IsUsable reports whether an endpoint may get new work.
func (w *Watcher) IsUsable(name string) bool {
	e, ok := w.endpoints.Get(name)
	return ok && !e.Leaving && !w.options.Clock.Now().Before(e.downUntil)
}

// All returns the endpoints of all pools, sorted by name.
func (w *Watcher) All() []Endpoint {
	var list []Endpoint
	w.endpoints.Each(func(_ string, e Endpoint) { list = append(list, e) })
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}
