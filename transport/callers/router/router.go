// Package router forwards callers' requests to endpoints: plain calls, streams, and generations that use prefill and
// decode engines.
package router

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/internal/timekeeper"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/authorizer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// noConfigRetryAfter is the Retry-After of a host that has no configuration yet.
	noConfigRetryAfter = time.Second
	// convictedRetryAfter is the Retry-After for a request that crashed endpoints.
	convictedRetryAfter = time.Minute
	// startShare is the share of the time to the latency target within which a call must be sent to meet it.
	startShare = 0.5
)

// Options are the dependencies of a Router.
type Options struct {
	Dialect    Dialect
	Sender     *sender.Sender
	Engines    EngineClient
	Dispatcher Dispatcher
	// Origins holds the software versions that began streams; nil if endpoints have one version only.
	Origins Origins
	// Quotas bounds the requests of organisations; nil if they have no quotas.
	Quotas Quotas
	// Authorizer checks the keys of organisations. ConfigAge returns the time since the active table was known to be the newest.
	Authorizer authorizer.Authorizer
	ConfigAge  func() time.Duration
	// Uptime goes on while the machine is suspended.
	Uptime timekeeper.Clock
	// BodiesBytes bounds the memory for the bodies of all requests in flight; 0 stands for 64 MiB.
	BodiesBytes int64
	Clock       clockwork.Clock
	Logs        hclog.Logger
	Scope       tally.Scope
}

// Router is the HTTP handler of one callers' listener.
type Router struct {
	Options
	table            atomic.Pointer[matcher.Table]
	stop             *stop
	bodies           bodies
	inFlight         atomic.Int64
	mu               sync.Mutex
	firstEventDelays map[string]time.Duration
	metrics          metrics
}

// New returns a Router without a route table; until SetTable it refuses all requests.
func New(o Options) *Router {
	return &Router{
		Options:          o,
		stop:             newStop(),
		bodies:           newBodies(o.BodiesBytes, o.Clock),
		firstEventDelays: make(map[string]time.Duration),
		metrics:          newMetrics(o.Scope),
	}
}

// SetTable activates t and returns true, unless the active table has the same or a newer version.
func (rt *Router) SetTable(t *matcher.Table) bool {
	for {
		old := rt.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if rt.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Table returns the active table, nil if there is none.
func (rt *Router) Table() *matcher.Table { return rt.table.Load() }

// InFlight returns the number of requests being handled, without those that arrived after Refuse.
func (rt *Router) InFlight() int64 { return rt.inFlight.Load() }

// begin counts a request as in flight. It returns false if no request is taken any more. The count comes first: once Refuse has
// returned, a request that is taken is in InFlight.
func (rt *Router) begin() bool {
	rt.inFlight.Add(1)
	if rt.stop.isRefusing() {
		rt.inFlight.Add(-1)
		return false
	}
	return true
}

// job is one request being handled, with its route.
type job struct {
	sender.Job
	request Request
	route   *matcher.Route
	service matcher.Service
	config  uint64
	// started is when the request arrived.
	started time.Time
	// key is that of the organisation, which is nil if the request needs no key.
	key          matcher.Digest
	organisation *matcher.Organisation
	// spent is what the request has taken of the organisation's quota.
	spent int
	// endsByClose is set if the end of the connection is all that tells the caller that a stream is complete.
	endsByClose bool
	// version is the software version that began a stream that the caller resumes, empty if the stream is new.
	version string
	// prefillSends counts the sends to prefill engines.
	prefillSends int
	body         reservation
}

// timeToTarget returns the time for an answer that meets the latency target, or the remaining time without a target.
func (j *job) timeToTarget(now time.Time) time.Duration {
	if target := j.route.TargetLatency; target > 0 {
		return min(target, j.Left(now))
	}
	return j.Left(now)
}

// ServeHTTP forwards a request, or refuses it with a reason.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rt.begin() {
		defer rt.inFlight.Add(-1)
	}
	if rt.stop.isUnderWay() {
		w.Header().Set("Connection", "close")
	}
	now := rt.Clock.Now()
	j, refusal := rt.accept(w, r, now)
	defer rt.Sender.Release(&j.Job)
	defer j.body.release()
	if refusal != nil {
		rt.respond(w, j, *refusal)
		return
	}
	if rt.Sender.IsConvicted(&j.Job) {
		rt.respond(w, j, notRunResult(sender.NewConvictedError("")))
		return
	}
	ctx, cancel := rt.stop.bound(r.Context(), j.Expires)
	defer cancel()
	if refusal := rt.spend(ctx, j); refusal != nil {
		rt.respond(w, j, *refusal)
		return
	}
	if j.route.Kind != matcher.Stream {
		rt.call(ctx, w, j)
		return
	}
	if refusal := rt.resolveOrigin(ctx, j); refusal != nil {
		rt.respond(w, j, *refusal)
		return
	}
	switch {
	case j.service.Engine == nil || !j.route.HasPrompt:
		rt.stream(ctx, w, j)
	default:
		rt.generate(ctx, w, j)
	}
}

// result is a final answer that the router generates, or how the forwarding of an endpoint's answer ended.
type result struct {
	// status is 0 if an endpoint's answer was forwarded.
	status     int
	reason     string
	retryAfter time.Duration
}

// accept parses and validates a request. The job is never nil, so that refusals are logged, too.
func (rt *Router) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*job, *result) {
	j := &job{Job: sender.Job{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}, started: now, endsByClose: !r.ProtoAtLeast(1, 1), body: reservation{bodies: rt.bodies}}
	var err error
	j.request, err = rt.Dialect.Request(r.Header)
	j.ID = j.request.ID
	for _, p := range j.request.Prompt.sharedParts() {
		j.Parts = append(j.Parts, p.ID)
	}
	if err != nil {
		return j, &result{status: http.StatusBadRequest, reason: err.Error()}
	}
	if err := sender.CheckTarget(r.RequestURI); err != nil {
		return j, &result{status: http.StatusBadRequest, reason: err.Error()}
	}
	table := rt.table.Load()
	if table == nil {
		return j, &result{status: http.StatusServiceUnavailable, reason: "no configuration loaded yet", retryAfter: noConfigRetryAfter}
	}
	j.config = table.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = table.Match(r.Host, path); j.route == nil {
		return j, &result{status: http.StatusNotFound, reason: "no route matches host and path"}
	}
	if refusal := rt.authorize(j, table); refusal != nil {
		return j, refusal
	}
	if j.request.IsResumption() {
		j.Trace.Set("resumes", j.request.Resumes)
		j.Trace.Set("after", j.request.LastEventID)
	}
	j.service = table.Services[j.route.PickService(rt.Sender.NewRand())]
	j.Service, j.MaxAttempts = j.service.Name, j.route.MaxAttempts
	j.Expires = now.Add(j.route.Timeout)
	j.Abort = rt.stop.aborting
	if d := j.request.Deadline; d > 0 && (d < j.route.Timeout || j.route.Timeout <= 0) {
		j.Expires = now.Add(d)
	}
	if rt.Uptime != nil {
		j.Uptime, j.UptimeExpires = rt.Uptime, rt.Uptime.Now()+j.Expires.Sub(now)
	}
	j.LatestStart = now.Add(time.Duration(startShare * float64(j.timeToTarget(now))))
	if refusal := rt.stop.refusal(j, now); refusal != nil {
		return j, refusal
	}
	if refusal := rt.readBody(w, r, j, table.Limits.MaxBodyBytes); refusal != nil {
		return j, refusal
	}
	return j, rt.stop.refusal(j, rt.Clock.Now())
}

// respond writes and logs an answer that the router generates.
func (rt *Router) respond(w http.ResponseWriter, j *job, res result) {
	rt.logEnd(j, res)
	h := w.Header()
	if res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests {
		rt.Dialect.RetryAfter(h, res.retryAfter)
	}
	rt.refund(j, res.status)
	body := res.reason + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(res.status)
	_, _ = io.WriteString(w, body)
	// The answer must not wait for the rest of a body that is not read.
	_ = http.NewResponseController(w).Flush()
}

// logEnd logs and counts the end of a request.
func (rt *Router) logEnd(j *job, res result) {
	now := rt.Clock.Now()
	kind, route := "none", ""
	if j.route != nil {
		kind, route = j.route.Kind.String(), j.route.Name
	}
	rt.metrics.record(kind, res.status, now.Sub(j.started))
	rt.traceConfigAge(j, res.status)
	eventlogger.Info(rt.Logs, eventlogger.RequestEnded, append([]any{
		"request", j.ID, "route", route, "kind", kind, "service", j.Service, "config", j.config,
		"status", res.status, "reason", res.reason, "ms", now.Sub(j.started).Milliseconds(), "sends", j.Sends.Load(),
	}, j.Trace.Pairs()...)...)
}
