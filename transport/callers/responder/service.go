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
	// KeyHeader names a business action. It must come with every once call.
	KeyHeader = "Idempotency-Key"
	// lookupTimeout bounds a call of a service without a lookup rule.
	lookupTimeout = 5 * time.Second
	// maxAttempts bounds the endpoints that a lookup is sent to.
	maxAttempts = 4
	// onceTimeout bounds all waiting for a once call.
	onceTimeout = 60 * time.Second
)

// notPassed are headers between a caller and this host, beside those that concern one connection.
var notPassed = []string{"Authorization", "Accept-Encoding"}

func (s *Responder) service(w http.ResponseWriter, r *http.Request, c caller) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), ServicesPrefix), "/")
	if pool, ok := c.rules.Pools[name]; !ok || pool.Kind != parser.Service {
		fail(w, http.StatusNotFound, notRun("unknown_service", "no service "+name+" in the rules"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, badField("body", err.Error()))
		return
	}
	j := &sender.Job{
		ID: c.requestID, Service: name, Method: r.Method, Target: "/" + path, Header: passed(r, c), Body: body, MaxAttempts: maxAttempts,
	}
	rule, once := findOnce(c.rules, j)
	if r.URL.RawQuery != "" {
		j.Target += "?" + r.URL.RawQuery
	}
	if s.options.Sender.IsConvicted(j) {
		fail(w, http.StatusUnprocessableEntity, notRun("request_convicted", "endpoints crashed while they ran this request"))
		return
	}
	switch {
	case once:
		s.once(w, r, c, rule, j)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		s.lookup(w, r, c, j)
	default:
		s.single(w, r, j)
	}
}

// passed returns the headers that reach the service, with the organisation and the request ID.
func passed(r *http.Request, c caller) http.Header {
	h := r.Header.Clone()
	for _, name := range notPassed {
		h.Del(name)
	}
	h.Set("X-Organisation", c.organisation.Name)
	h.Set(RequestIDHeader, c.requestID)
	return h
}

func findOnce(rules *parser.Rules, j *sender.Job) (parser.Once, bool) {
	for _, o := range rules.OnceCalls {
		below := j.Target == o.Path || strings.HasPrefix(j.Target, strings.TrimSuffix(o.Path, "/")+"/")
		if o.Service == j.Service && o.Method == j.Method && below {
			return o, true
		}
	}
	return parser.Once{}, false
}

func (s *Responder) once(w http.ResponseWriter, r *http.Request, c caller, rule parser.Once, j *sender.Job) {
	key := r.Header.Get(KeyHeader)
	if key == "" || len(key) > maxRequestID {
		fail(w, http.StatusBadRequest, badField(KeyHeader, "a call under rule "+rule.Name+" needs this header, of 1 to 200 bytes"))
		return
	}
	ctx, cancel := detach(r.Context(), onceTimeout)
	defer cancel()
	result := s.options.Executor.Execute(ctx, executor.Call{
		Organisation: c.organisation.Name, Rule: rule, Key: key, Job: j,
	})
	s.options.Scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("once_calls").Inc(1)
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
		f = f.after(result.RetryAfter)
	}
	fail(w, result.HTTPStatus, f)
}

func (s *Responder) lookup(w http.ResponseWriter, r *http.Request, c caller, j *sender.Job) {
	limit := lookupTimeout
	if rule, ok := c.rules.Lookups[j.Service]; ok {
		limit, j.Hedge = rule.Finish, rule.Hedge
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	begin := s.options.Clock.Now()
	j.Expires = begin.Add(limit)
	s.options.Sender.CountRequest(j.Service)
	reply, err := s.options.Sender.Lookup(ctx, j)
	s.options.Scope.Timer("lookup").Record(s.options.Clock.Since(begin))
	s.relay(w, reply, err)
}

// single sends a call that is not idempotent and has no rule: once, without a guard against repeats of the caller.
func (s *Responder) single(w http.ResponseWriter, r *http.Request, j *sender.Job) {
	ctx, cancel := detach(r.Context(), lookupTimeout)
	defer cancel()
	j.Expires = s.options.Clock.Now().Add(lookupTimeout)
	reply, err := s.options.Sender.Once(ctx, j)
	s.relay(w, reply, err)
}

func (s *Responder) relay(w http.ResponseWriter, reply *sender.Reply, err error) {
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome != sender.Unknown {
		fail(w, http.StatusServiceUnavailable, notRun("service_unreachable", failed.Reason).after(time.Second))
		return
	}
	if err != nil {
		fail(w, http.StatusBadGateway, Failure{Code: "answer_lost", Message: err.Error(), Outcome: executor.Unclear}.after(time.Second))
		return
	}
	writeAnswer(w, reply.Status, reply.Header, reply.Body)
}

func writeAnswer(w http.ResponseWriter, status int, h http.Header, body []byte) {
	sender.CopyHeader(w.Header(), h)
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller is gone
}

// Dialect is what this host and services tell each other in headers: nothing beyond the request ID, which is passed on.
type Dialect struct{}

var _ sender.Dialect = Dialect{}

// IsOwn returns false: no header is for routers alone.
func (Dialect) IsOwn(string) bool { return false }

// Send adds nothing.
func (Dialect) Send(http.Header, sender.Send) {}

// Answer tells nothing: services neither name the request that they answer nor promise that they did not run it.
func (Dialect) Answer(*http.Response, string) sender.Answer { return sender.Answer{} }
