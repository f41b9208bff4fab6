// Package watcher keeps the endpoints of all pools with their state and load.
//
// The host list lags, so a report of leaving from any source outlives a later "live" of the list.
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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/finder"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// loadTimeout bounds one question for a load report.
	loadTimeout = time.Second
	// maxLoad bounds the bytes of one load report.
	maxLoadBytes = 64 << 10
	// rarePeriods is the number of load periods between two questions to an engine that this host does not own.
	remotePollRounds = 60
	// downPause is how long an endpoint that refused a connection is left out.
	downInterval = 2 * time.Second
)

// Endpoint is one back end as this host sees it.
type Endpoint struct {
	Name       string
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
	// Load is the last report of an engine, LoadAt when it came, zero if none did.
	Load   completer.Load
	LoadAt time.Time
	// InFlight is the number of this host's requests there; Tokens are the prompt tokens sent since LoadAt.
	InFlight int
	Tokens   int
	// Free is when a prefill engine has done all that is queued there, as its owner last told.
	FreeAt    time.Time
	downUntil time.Time
}

// Options are the settings of a Watcher.
type Options struct {
	Hosts *finder.Client
	// HostPeriod is the time between questions to the host list.
	HostPeriod time.Duration
	// LoadPeriod is the time between questions for an engine's load.
	LoadPeriod time.Duration
	// IsEngine tells whether the endpoints of a pool report load.
	IsEngine func(pool string) bool
	// IsOwned tells whether this host counts the slots of an engine for all. Other engines are asked rarely.
	IsOwned func(name string) bool
	// Listed is called with each answer of the host list.
	OnListing func(l finder.Listing)
	// Reported is called with each load report.
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

// New returns a Watcher that knows no endpoint.
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

// Done is closed once Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Ready is closed once the host list has been read.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	hosts := w.options.Clock.NewTicker(w.options.HostPeriod)
	defer hosts.Stop()
	loads := w.options.Clock.NewTicker(w.options.LoadPeriod)
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

func (w *Watcher) merge(l finder.Listing) {
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
	gone := slices.Concat(slices.Collect(maps.Values(w.pools))...)
	w.pools = pools
	w.mu.Unlock()
	for _, name := range gone {
		if !present[name] {
			w.endpoints.Delete(name)
		}
	}
}

// mergeEndpoint keeps an endpoint leaving for as long as it keeps its address.
func mergeEndpoint(old Endpoint, ok bool, e finder.Endpoint) Endpoint {
	if !ok || old.Address != e.Address {
		old = Endpoint{Name: e.Name, Address: e.Address}
	}
	old.Pool = e.Pool
	old.DataCentre = e.DataCentre
	old.Leaving = old.Leaving || e.State == finder.Leaving
	return old
}

// pollLoads asks engines for their load: own ones and those that have never answered each time, others rarely.
func (w *Watcher) pollLoads(ctx context.Context) {
	w.pollRound++
	var wait sync.WaitGroup
	w.endpoints.Each(func(name string, e Endpoint) {
		if !w.options.IsEngine(e.Pool) {
			return
		}
		rare := !e.LoadAt.IsZero() && !w.options.IsOwned(name)
		if rare && (w.pollRound+int(xxhash.Sum64String(name)%remotePollRounds))%remotePollRounds != 0 {
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
	if json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load) == nil {
		w.Report(e.Name, load)
	}
}

// Report takes an engine's load report, polled or sent along with an answer.
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

// Down leaves an endpoint out for a while, because it refused a connection.
func (w *Watcher) MarkDown(name string) {
	w.update(name, func(e *Endpoint) { e.downUntil = w.options.Clock.Now().Add(downInterval) })
}

// Leave marks an endpoint as leaving.
func (w *Watcher) MarkLeaving(name string) {
	var first bool
	w.update(name, func(e *Endpoint) {
		first = !e.Leaving
		e.Leaving = true
	})
	if first {
		eventer.Info(w.options.Logs, eventer.EndpointLeaving, "endpoint", name)
	}
}

// Begin counts a request with tokens prompt tokens on an endpoint. The returned function ends it.
func (w *Watcher) Begin(name string, tokens int) (end func()) {
	w.update(name, func(e *Endpoint) {
		e.InFlight++
		e.Tokens += tokens
	})
	return func() { w.update(name, func(e *Endpoint) { e.InFlight-- }) }
}

// SetFree takes the time at which a prefill engine has done all that is queued there.
func (w *Watcher) SetFreeAt(name string, free time.Time) {
	w.update(name, func(e *Endpoint) { e.FreeAt = free })
}

func (w *Watcher) update(name string, f func(*Endpoint)) {
	w.endpoints.Update(name, func(e Endpoint, ok bool) (Endpoint, bool) {
		f(&e)
		return e, ok
	})
}

// Usable returns the endpoints of pool that may get new work, in order of their names.
func (w *Watcher) Usable(pool string) []Endpoint {
	now := w.options.Clock.Now()
	return slices.DeleteFunc(w.Pool(pool), func(e Endpoint) bool {
		return e.Leaving || now.Before(e.downUntil)
	})
}

// Pool returns all endpoints of pool in order of their names.
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

// IsUsable tells whether an endpoint may get new work.
func (w *Watcher) IsUsable(name string) bool {
	e, ok := w.endpoints.Get(name)
	return ok && !e.Leaving && !w.options.Clock.Now().Before(e.downUntil)
}

// All returns every endpoint.
func (w *Watcher) All() []Endpoint {
	var list []Endpoint
	w.endpoints.Each(func(_ string, e Endpoint) { list = append(list, e) })
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}
