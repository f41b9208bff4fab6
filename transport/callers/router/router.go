// Package router forwards the requests of routes to endpoints: plain calls, streams, and generations over prefill and
// decode engines.
package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

const (
	// defaultBody bounds a body in bytes while the configuration sets no bound.
	defaultBody = 4 << 20
	// unknownWait is what callers are told to wait for a host without a configuration.
	unknownWait = time.Second
	// convictedWait is what callers are told to wait whose request crashes endpoints.
	convictedWait = time.Minute
	// drainWait is what callers are told to wait by a host that stops: they go to another one.
	drainWait = 100 * time.Millisecond
)

// RetryBudget bounds the sends beyond the first to a service, over all hosts: in each Window, Ratio for each request and
// Slack besides.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Options are the parts and settings of a Router.
type Options struct {
	DataCentre string
	Dialect    Dialect
	Engines    Engines
	Places     Places
	Isolator   *isolator.Isolator
	Endpoints  *enlister.Enlister
	// Hosts returns the number of hosts that share the budget of extra sends; 0 if it is not known yet.
	Hosts  func() int
	Retry  RetryBudget
	Clock  clockwork.Clock
	Random *rand.Rand
	Logs   hclog.Logger
	Scope  tally.Scope
}

// Router serves one door for callers.
type Router struct {
	Options
	table    atomic.Pointer[matcher.Table]
	client   *dialer.Client
	draining atomic.Bool
	refusing atomic.Bool
	inflight atomic.Int64
	mu       sync.Mutex
	budgets  map[string]*limiter.Window
	leads    map[string]time.Duration
	meters   meters
}

// New returns a Router without a table.
func New(o Options) *Router {
	return &Router{
		Options: o,
		client:  dialer.NewOnce("endpoints", nil),
		budgets: make(map[string]*limiter.Window),
		leads:   make(map[string]time.Duration),
		meters:  newMeters(o.Scope),
	}
}

// SetTable puts a table in force unless it is older than the one that is.
func (x *Router) SetTable(t *matcher.Table) bool {
	for {
		old := x.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if x.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Table returns the table in force, nil if there is none.
func (x *Router) Table() *matcher.Table { return x.table.Load() }

// Drain has every answer end its connection.
func (x *Router) Drain() { x.draining.Store(true) }

// Refuse has new generations refused: they would not end before the host does.
func (x *Router) Refuse() { x.refusing.Store(true) }

// InFlight returns the number of requests under way.
func (x *Router) InFlight() int64 { return x.inflight.Load() }

// job is one request on its way.
type job struct {
	request Request
	route   *matcher.Route
	service matcher.Service
	version uint64
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	// started is when the request came; expires is when its caller or its route gives up.
	started time.Time
	expires time.Time
	// fingerprint tells requests apart that are the same work.
	fingerprint uint64
	// sends counts the endpoints that the request was sent to.
	sends int
	// reads counts the prefill engines that the request was sent to.
	reads int
	trace trace
}

func (j *job) left(now time.Time) time.Duration { return j.expires.Sub(now) }

// ServeHTTP routes one request.
func (x *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.inflight.Add(1)
	defer x.inflight.Add(-1)
	if x.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	now := x.Clock.Now()
	j, refusal := x.accept(w, r, now)
	if refusal != nil {
		x.finish(w, j, *refusal)
		return
	}
	j.fingerprint = fingerprint(j)
	if x.Isolator.IsConvicted(j.fingerprint) {
		x.finish(w, j, ending{status: http.StatusServiceUnavailable, reason: "endpoints crashed under this request", wait: convictedWait})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.expires)
	defer cancel()
	switch {
	case j.route.Kind != matcher.Stream:
		x.call(ctx, w, j)
	case j.service.Engine == nil || !j.route.Prompted:
		x.stream(ctx, w, j)
	default:
		x.generate(ctx, w, j)
	}
}

// fingerprint is the same for the same method, host, path and body.
func fingerprint(j *job) uint64 {
	d := xxhash.New()
	for _, part := range []string{j.method, j.host, j.target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}

// ending is a final answer of the router's own, or the note of how an endpoint's answer ended.
type ending struct {
	// status is 0 if an endpoint's answer was passed on.
	status int
	reason string
	wait   time.Duration
}

// accept parses and validates a request. The job is never nil.
func (x *Router) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*job, *ending) {
	j := &job{method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, started: now}
	var err error
	if j.request, err = x.Dialect.Request(r.Header); err != nil {
		return j, &ending{status: http.StatusBadRequest, reason: err.Error()}
	}
	table := x.table.Load()
	if table == nil {
		return j, &ending{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", wait: unknownWait}
	}
	j.version = table.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = table.Match(r.Host, path); j.route == nil {
		return j, &ending{status: http.StatusNotFound, reason: "no route"}
	}
	j.service = table.Services[j.route.Pick(x.random())]
	j.expires = now.Add(j.route.Timeout)
	if d := j.request.Deadline; d > 0 && (d < j.route.Timeout || j.route.Timeout <= 0) {
		j.expires = now.Add(d)
	}
	if x.refusing.Load() && j.route.Kind == matcher.Stream {
		return j, &ending{status: http.StatusServiceUnavailable, reason: "the host stops", wait: drainWait}
	}
	return j, x.readBody(w, r, j, table.Limits.MaxBodyBytes)
}

func (x *Router) readBody(w http.ResponseWriter, r *http.Request, j *job, limit int64) *ending {
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return &ending{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(j.expires) // fails only for writers without a connection, as in tests
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &ending{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case err != nil:
		return &ending{status: http.StatusRequestTimeout, reason: "the body did not come whole: " + err.Error()}
	}
	j.body = body
	return nil
}

// random returns a source for one decision.
func (x *Router) random() *rand.Rand {
	x.mu.Lock()
	defer x.mu.Unlock()
	return rand.New(rand.NewPCG(x.Random.Uint64(), x.Random.Uint64()))
}

// finish answers with an ending of the router's own and logs it.
func (x *Router) finish(w http.ResponseWriter, j *job, e ending) {
	x.end(j, e)
	h := w.Header()
	if e.status == http.StatusServiceUnavailable {
		x.Dialect.RetryAfter(h, e.wait)
	}
	http.Error(w, e.reason, e.status)
}

// end logs and counts how a request ended.
func (x *Router) end(j *job, e ending) {
	now := x.Clock.Now()
	kind, route := "none", ""
	if j.route != nil {
		kind, route = j.route.Kind.String(), j.route.Name
	}
	x.meters.ended(kind, e.status, now.Sub(j.started))
	eventer.Info(x.Logs, eventer.RequestEnded, append([]any{
		"request", j.request.ID, "route", route, "kind", kind, "service", j.service.Name, "config", j.version,
		"status", e.status, "reason", e.reason, "ms", now.Sub(j.started).Milliseconds(), "sends", j.sends,
	}, j.trace.pairs()...)...)
}

// slack returns this host's part of the extra sends that all hosts share. The caller holds mu.
func (x *Router) slack() float64 {
	n := x.Hosts()
	if n == 0 {
		return 0
	}
	return x.Retry.Slack / float64(n)
}

// SetRetry puts another budget in force. What was spent before is counted no more only if the window changes.
func (x *Router) SetRetry(b RetryBudget) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.Window != x.Retry.Window {
		clear(x.budgets)
	}
	for _, w := range x.budgets {
		w.Ratio = b.Ratio
	}
	x.Retry = b
}

func (x *Router) budget(service string) *limiter.Window {
	b := x.budgets[service]
	if b == nil {
		b = &limiter.Window{Span: x.Retry.Window, Ratio: x.Retry.Ratio}
		x.budgets[service] = b
	}
	return b
}

// countRequest pays into the budget of a service.
func (x *Router) countRequest(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget(service).Request(x.Clock.Now())
}

// chargeResend counts a send that an endpoint refused and that was not counted as extra before.
func (x *Router) chargeResend(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget(service).Charge(x.Clock.Now())
}

// mayResend takes one extra send from the budget of a service.
func (x *Router) mayResend(service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	ok := x.budget(service).Extra(x.Clock.Now(), x.slack())
	if !ok {
		x.meters.noBudget.Inc(1)
	}
	return ok
}
