package responder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

const (
	// KeyHeader carries the idempotency key, which every at-most-once call must have.
	KeyHeader = "Idempotency-Key"
	// lookupTimeout bounds a call to a service without a lookup rule.
	lookupTimeout = 5 * time.Second
	// maxAttempts bounds the endpoints that a lookup is sent to.
	maxAttempts = 4
	// onceTimeout bounds an at-most-once call, including the waits for its claim and for other attempts.
	onceTimeout = 60 * time.Second
)

// strippedHeaders are meant for this host only, in addition to the hop-by-hop headers.
var strippedHeaders = []string{"Authorization", "Accept-Encoding"}

func (rs *Responder) service(w http.ResponseWriter, r *http.Request, c caller) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), ServicesPrefix), "/")
	if pool, ok := c.rules.Pools[name]; !ok || pool.Kind != parser.Service {
		writeFailure(w, http.StatusNotFound, notRun("unknown_service", "no service "+name+" in the rules"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeFailure(w, http.StatusRequestEntityTooLarge, badRequest("body", err.Error()))
		return
	}
	j := &sender.Job{
		ID: c.requestID, Service: name, Method: r.Method, Target: "/" + path, Header: forwardedHeaders(r, c), Body: body, MaxAttempts: maxAttempts,
	}
	defer rs.options.Sender.Release(j)
	rule, once := findOnce(c.rules, j)
	if r.URL.RawQuery != "" {
		j.Target += "?" + r.URL.RawQuery
	}
	if rs.options.Sender.IsConvicted(j) {
		writeFailure(w, http.StatusUnprocessableEntity, notRun("request_convicted", "endpoints crashed while they ran this request"))
		return
	}
	switch {
	case once:
		rs.once(w, r, c, rule, j)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		rs.lookup(w, r, c, j)
	default:
		rs.sendUnguarded(w, r, j)
	}
}

// forwardedHeaders returns the headers for the service, with the organisation and the request ID added.
func forwardedHeaders(r *http.Request, c caller) http.Header {
	h := r.Header.Clone()
	for _, name := range strippedHeaders {
		h.Del(name)
	}
	h.Set("X-Organisation", c.organisation.Name)
	h.Set(RequestIDHeader, c.requestID)
	return h
}

func findOnce(rules *parser.Rules, j *sender.Job) (parser.Once, bool) {
	for _, o := range rules.OnceCalls {
		matches := j.Target == o.Path || strings.HasPrefix(j.Target, strings.TrimSuffix(o.Path, "/")+"/")
		if o.Service == j.Service && o.Method == j.Method && matches {
			return o, true
		}
	}
	return parser.Once{}, false
}

func (rs *Responder) once(w http.ResponseWriter, r *http.Request, c caller, rule parser.Once, j *sender.Job) {
	key := r.Header.Get(KeyHeader)
	if key == "" || len(key) > maxRequestIDBytes {
		writeFailure(w, http.StatusBadRequest, badRequest(KeyHeader, "calls under rule "+rule.Name+" need this header, with 1 to 200 bytes"))
		return
	}
	ctx, cancel := detach(r.Context(), onceTimeout)
	defer cancel()
	result := rs.options.Executor.Execute(ctx, executor.Call{
		Organisation: c.organisation.Name, Rule: rule, Key: key, Job: j,
	})
	rs.options.Scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("once_calls").Inc(1)
	if result.Code == "" {
		w.Header().Set(OutcomeHeader, string(result.Outcome))
		if result.Repeated {
			w.Header().Set("X-Repeated", "true")
		}
		writeAnswer(w, result.Answer.Status, http.Header{"Content-Type": {result.Answer.Type}}, result.Answer.Body)
		return
	}
	f := Failure{Code: result.Code, Message: result.Message, Outcome: result.Outcome}
	if result.RetryAfter > 0 {
		f = f.withRetryAfter(result.RetryAfter)
	}
	writeFailure(w, result.HTTPStatus, f)
}

func (rs *Responder) lookup(w http.ResponseWriter, r *http.Request, c caller, j *sender.Job) {
	limit := lookupTimeout
	if rule, ok := c.rules.Lookups[j.Service]; ok {
		limit, j.Hedge = rule.Finish, rule.Hedge
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	begin := rs.options.Clock.Now()
	j.Expires = begin.Add(limit)
	rs.options.Sender.CountRequest(j.Service)
	reply, err := rs.options.Sender.Lookup(ctx, j)
	rs.options.Scope.Timer("lookup").Record(rs.options.Clock.Since(begin))
	rs.writeReply(w, reply, err)
}

// sendUnguarded sends a call that is neither idempotent nor under a once rule. It sends it once, but does not detect
// repeats by the caller.
func (rs *Responder) sendUnguarded(w http.ResponseWriter, r *http.Request, j *sender.Job) {
	ctx, cancel := detach(r.Context(), lookupTimeout)
	defer cancel()
	j.Expires = rs.options.Clock.Now().Add(lookupTimeout)
	reply, err := rs.options.Sender.AtMostOnce(ctx, j)
	rs.writeReply(w, reply, err)
}

func (rs *Responder) writeReply(w http.ResponseWriter, reply *sender.Reply, err error) {
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome != sender.Unknown {
		writeFailure(w, http.StatusServiceUnavailable, notRun("service_unreachable", failed.Reason).withRetryAfter(time.Second))
		return
	}
	if err != nil {
		writeFailure(w, http.StatusBadGateway, Failure{Code: "answer_lost", Message: err.Error(), Outcome: executor.OutcomeUnknown}.withRetryAfter(time.Second))
		return
	}
	writeAnswer(w, reply.Status, reply.Header, reply.Body)
}

func writeAnswer(w http.ResponseWriter, status int, h http.Header, body []byte) {
	sender.CopyHeader(w.Header(), h)
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller disconnected
}

// Dialect is the header format between this host and services. Apart from the request ID, which is forwarded, they
// exchange no headers of their own.
type Dialect struct{}

var _ sender.Dialect = Dialect{}

// IsOwn returns false, because no header is reserved for hosts.
func (Dialect) IsOwn(string) bool { return false }

// Send adds no headers.
func (Dialect) Send(http.Header, sender.Send) {}

// Answer is empty: services neither identify the request that they answer nor state that they did not run it.
func (Dialect) Answer(*http.Response, string) sender.Answer { return sender.Answer{} }
