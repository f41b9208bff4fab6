// Package matcher holds the routes and services in force and finds the route of a request.
package matcher

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the execution semantics of a route's requests.
type Kind uint8

// The kinds of routes differ in whether a request may be repeated.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests must not run more than once.
	Once
	// Stream requests are answered by a series of events and run at most once, unless the route is resumable.
	Stream
)

// String returns the name of k for logs.
func (k Kind) String() string { return [...]string{"idempotent", "once", "stream"}[k] }

// Target is a service that a route sends requests to. Weights are relative to those of the route's other targets.
type Target struct {
	Service string
	Weight  int
}

// Route defines the targets and time limits of requests to a host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits how long a request may wait for its answer.
	Timeout time.Duration
	// TargetLatency is the aim for the time to the full answer, or to the first event of a stream.
	TargetLatency time.Duration
	// EventTimeout is how long a caller waits for the next event of a stream; 0 if that is not known.
	EventTimeout time.Duration
	// MaxPause is the aim for the longest pause between two events of a stream.
	MaxPause time.Duration
	// Priority 0 is served first.
	Priority int
	// MaxAttempts limits the number of endpoints that one request is sent to.
	MaxAttempts int
	Targets     []Target
	// Resumable streams may be continued at another endpoint after a failure.
	Resumable bool
	// HasPrompt is set if requests contain a prompt for a model engine.
	HasPrompt bool
	// IsPublic is set if requests need no key.
	IsPublic bool
}

// Engine describes the size of a service's model engines, which are all equal.
type Engine struct {
	Slots int
	// Memory is the capacity of the KV cache in tokens.
	Memory int
	// Stride is the number of tokens per event.
	Stride int
	// SwitchTime is how long an engine takes to change between prefill and decode.
	SwitchTime time.Duration
	// MaxHold is the longest time that memory may be reserved without use.
	MaxHold time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound the size and the duration of requests, and the idle time of connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes and services. It is immutable.
type Table struct {
	Version      uint64
	Limits       Limits
	Services     map[string]Service
	routesByHost map[string][]*Route
	// organisations is nil if requests need no key.
	organisations      map[string]*Organisation
	organisationsByKey map[Digest]*Organisation
}

// New returns a table, with the routes of each host sorted by descending length of prefix.
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

// Match returns the route of host with the longest prefix that matches path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes of all hosts.
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

// PickService returns one of the route's services at random by weight, empty if no target has a positive weight.
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

// Services returns the services that requests for the route may go to.
func (r *Route) Services() []string {
	var names []string
	for _, t := range r.Targets {
		if !slices.Contains(names, t.Service) {
			names = append(names, t.Service)
		}
	}
	return names
}

// StreamServices returns the services of all routes with streams, in their order.
func (t *Table) StreamServices() []string {
	names := make(map[string]bool)
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Kind != Stream {
				continue
			}
			for _, name := range r.Services() {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
