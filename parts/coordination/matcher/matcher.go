// Package matcher holds the routes and services in force and finds the route of a request.
package matcher

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests may run at most once.
	Once
	// Stream requests are answered by a series of events and run at most once, unless they may be resumed.
	Stream
)

// String returns the name of k for logs.
func (k Kind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// Target is a service that a route sends to. The weights of a route's targets are relative to each other.
type Target struct {
	Service string
	Weight  int
}

// Route says where the requests of a host and a path prefix go and how long they may take.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to a full answer, or to the first event of a stream.
	TargetLatency time.Duration
	// Patience is how long a caller waits for the next event of a stream; 0 if that is not known.
	EventTimeout time.Duration
	// MaxPause is the longest pause between two events of a stream.
	MaxPause time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	Targets     []Target
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Prompted requests describe a prompt for a model engine.
	HasPrompt bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory is the number of tokens whose KV cache fits.
	Memory int
	// Stride is the number of tokens in one event.
	Stride int
	// SwitchTime is how long an engine takes to change its stage.
	SwitchTime time.Duration
	// MaxHold is the longest reservation.
	MaxHold time.Duration
}

// Service is a group of equal endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes and services. It does not change.
type Table struct {
	Version      uint64
	Limits       Limits
	Services     map[string]Service
	routesByHost map[string][]*Route
}

// New returns a table of routes, each host's longest prefixes first.
func New(version uint64, limits Limits, routes []Route, services []Service) *Table {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[string]Service, len(services)), routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		host := normaliseHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route of host with the longest prefix of path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routesByHost {
		n += len(list)
	}
	return n
}

func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick draws one of the route's services by weight; empty if the route has none.
func (r *Route) PickService(random *rand.Rand) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	n := random.IntN(total)
	for _, t := range r.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return ""
}
