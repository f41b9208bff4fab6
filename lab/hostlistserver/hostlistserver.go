// Package hostlistserver simulates the host list of the platform, which shows changes with a lag, with fault injection.
package hostlistserver

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
)

type change struct {
	at       time.Time
	endpoint hostlistclient.Endpoint
}

// List is a host list in which each change becomes visible only after a lag.
type List struct {
	lag     time.Duration
	mu      sync.Mutex
	pending []change
	visible map[string]hostlistclient.Endpoint
	outage  bool
}

// New returns an empty list in which changes become visible after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: make(map[string]hostlistclient.Endpoint)}
}

// Routes returns the HTTP API of the list and of its fault injection.
func (l *List) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/hosts", Handler: l.get},
		{Method: http.MethodPut, Path: "/v1/hosts", Handler: l.put},
		{Method: http.MethodPut, Path: "/v1/faults", Handler: l.setFaults},
	}
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var e hostlistclient.Endpoint
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{at: time.Now().Add(l.lag), endpoint: e})
	httpx.Ok(w)
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		panic(http.ErrAbortHandler)
	}
	l.applyDue(time.Now())
	list := slices.SortedFunc(maps.Values(l.visible), func(a, b hostlistclient.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	httpx.OkJson(w, hostlistclient.Listing{Endpoints: list})
}

func (l *List) applyDue(now time.Time) {
	n := 0
	for ; n < len(l.pending) && !l.pending[n].at.After(now); n++ {
		e := l.pending[n].endpoint
		if e.State == hostlistclient.Gone {
			delete(l.visible, e.Name)
			continue
		}
		l.visible[e.Name] = e
	}
	l.pending = l.pending[n:]
}

// Faults configures fault injection. During an outage reads of the list are dropped without an answer.
type Faults struct {
	Outage bool `json:"outage"`
}

func (l *List) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = f.Outage
	httpx.OkJson(w, f)
}
