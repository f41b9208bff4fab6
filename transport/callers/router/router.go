// Package router forwards the requests of routes to endpoints: plain calls, streams, and generations over prefill and
// decode engines.
package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// defaultBody bounds a body in bytes while the configuration sets no bound.
	defaultMaxBodyBytes = 4 << 20
	// unknownWait is what callers are told to wait for a host without a configuration.
	noConfigRetryAfter = time.Second
	// convictedWait is what callers are told to wait whose request crashes endpoints.
	convictedRetryAfter = time.Minute
	// drainWait is what callers are told to wait by a host that stops: they go to another one.
	drainRetryAfter = 100 * time.Millisecond
)

// Options are the parts and settings of a Router.
type Options struct {
	Dialect Dialect
	Sender  *sender.Sender
	Engines EngineClient
	Places  Places
	Clock   clockwork.Clock
	Logs    hclog.Logger
	Scope   tally.Scope
}

// Router serves one door for callers.
type Router struct {
	Options
	table            atomic.Pointer[matcher.Table]
	draining         atomic.Bool
	refusingStreams  atomic.Bool
	inflight         atomic.Int64
	mu               sync.Mutex
	firstEventDelays map[string]time.Duration
	metrics          metrics
}

// New returns a Router without a table.
func New(o Options) *Router {
	return &Router{
		Options:          o,
		firstEventDelays: make(map[string]time.Duration),
		metrics:          newMetrics(o.Scope),
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
func (x *Router) RefuseStreams() { x.refusingStreams.Store(true) }

// InFlight returns the number of requests under way.
func (x *Router) InFlight() int64 { return x.inflight.Load() }

// job is one request on its way.
type job struct {
	sender.Job
	request Request
	route   *matcher.Route
	service matcher.Service
	version uint64
	// started is when the request came.
	started time.Time
	// reads counts the prefill engines that the request was sent to.
	prefillSends int
}

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
		x.respond(w, j, *refusal)
		return
	}
	if x.Sender.IsConvicted(&j.Job) {
		x.respond(w, j, result{status: http.StatusServiceUnavailable, reason: "endpoints crashed under this request", retryAfter: convictedRetryAfter})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.Expires)
	defer cancel()
	switch {
	case j.route.Kind != matcher.Stream:
		x.call(ctx, w, j)
	case j.service.Engine == nil || !j.route.HasPrompt:
		x.stream(ctx, w, j)
	default:
		x.generate(ctx, w, j)
	}
}

// ending is a final answer of the router's own, or the note of how an endpoint's answer ended.
type result struct {
	// status is 0 if an endpoint's answer was passed on.
	status     int
	reason     string
	retryAfter time.Duration
}

// accept parses and validates a request. The job is never nil.
func (x *Router) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*job, *result) {
	j := &job{Job: sender.Job{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}, started: now}
	var err error
	j.request, err = x.Dialect.Request(r.Header)
	j.ID = j.request.ID
	if err != nil {
		return j, &result{status: http.StatusBadRequest, reason: err.Error()}
	}
	table := x.table.Load()
	if table == nil {
		return j, &result{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: noConfigRetryAfter}
	}
	j.version = table.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = table.Match(r.Host, path); j.route == nil {
		return j, &result{status: http.StatusNotFound, reason: "no route"}
	}
	j.service = table.Services[j.route.PickService(x.Sender.NewRand())]
	j.Service, j.MaxAttempts = j.service.Name, j.route.MaxAttempts
	j.Expires = now.Add(j.route.Timeout)
	if d := j.request.Deadline; d > 0 && (d < j.route.Timeout || j.route.Timeout <= 0) {
		j.Expires = now.Add(d)
	}
	if x.refusingStreams.Load() && j.route.Kind == matcher.Stream {
		return j, &result{status: http.StatusServiceUnavailable, reason: "the host stops", retryAfter: drainRetryAfter}
	}
	return j, x.readBody(w, r, j, table.Limits.MaxBodyBytes)
}

func (x *Router) readBody(w http.ResponseWriter, r *http.Request, j *job, limit int64) *result {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return &result{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(j.Expires) // fails only for writers without a connection, as in tests
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &result{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case err != nil:
		return &result{status: http.StatusRequestTimeout, reason: "the body did not come whole: " + err.Error()}
	}
	j.Body = body
	return nil
}

// finish answers with an ending of the router's own and logs it.
func (x *Router) respond(w http.ResponseWriter, j *job, e result) {
	x.logEnd(j, e)
	h := w.Header()
	if e.status == http.StatusServiceUnavailable {
		x.Dialect.RetryAfter(h, e.retryAfter)
	}
	http.Error(w, e.reason, e.status)
}

// end logs and counts how a request ended.
func (x *Router) logEnd(j *job, e result) {
	now := x.Clock.Now()
	kind, route := "none", ""
	if j.route != nil {
		kind, route = j.route.Kind.String(), j.route.Name
	}
	x.metrics.record(kind, e.status, now.Sub(j.started))
	eventer.Info(x.Logs, eventer.RequestEnded, append([]any{
		"request", j.ID, "route", route, "kind", kind, "service", j.Service, "config", j.version,
		"status", e.status, "reason", e.reason, "ms", now.Sub(j.started).Milliseconds(), "sends", j.Sends.Load(),
	}, j.Trace.Pairs()...)...)
}
