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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/forwarder"
)

const (
	// KeyHeader names a business action. It must come with every once call.
	KeyHeader = "Idempotency-Key"
	// lookupTimeout bounds a call of a service without a lookup rule.
	lookupTimeout = 5 * time.Second
	// onceTimeout bounds all waiting for a once call.
	onceTimeout = 60 * time.Second
)

// hopHeaders are not passed on.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Accept-Encoding", "Content-Length",
}

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
	call := forwarder.Call{Service: name, Method: r.Method, Path: "/" + path, Header: passed(r, c), Body: body}
	rule, once := findOnce(c.rules, call)
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	switch {
	case once:
		s.once(w, r, c, rule, call)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		s.lookup(w, r, c, call)
	default:
		s.single(w, r, call)
	}
}

// passed returns the headers that reach the service, with the organisation and the request ID.
func passed(r *http.Request, c caller) http.Header {
	h := r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set("X-Organisation", c.organisation.Name)
	h.Set(RequestIDHeader, c.requestID)
	return h
}

func findOnce(rules *parser.Rules, c forwarder.Call) (parser.Once, bool) {
	for _, o := range rules.Onces {
		below := c.Path == o.Path || strings.HasPrefix(c.Path, strings.TrimSuffix(o.Path, "/")+"/")
		if o.Service == c.Service && o.Method == c.Method && below {
			return o, true
		}
	}
	return parser.Once{}, false
}

func (s *Responder) once(w http.ResponseWriter, r *http.Request, c caller, rule parser.Once, call forwarder.Call) {
	key := r.Header.Get(KeyHeader)
	if key == "" || len(key) > maxRequestID {
		fail(w, http.StatusBadRequest, badField(KeyHeader, "a call under rule "+rule.Name+" needs this header, of 1 to 200 bytes"))
		return
	}
	ctx, cancel := detach(r.Context(), onceTimeout)
	defer cancel()
	result := s.options.Executor.Execute(ctx, executor.Call{
		Organisation: c.organisation.Name, Rule: rule, Key: key, Call: call,
	})
	s.options.Scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("once_calls").Inc(1)
	if result.Code == "" {
		w.Header().Set(OutcomeHeader, string(result.Outcome))
		if result.Repeated {
			w.Header().Set("X-Repeated", "true")
		}
		writeAnswer(w, forwarder.Answer{Status: result.Answer.Status, Type: result.Answer.Type, Body: result.Answer.Body})
		return
	}
	f := Failure{Code: result.Code, Message: result.Message, Outcome: result.Outcome}
	if result.RetryAfter > 0 {
		f = f.after(result.RetryAfter)
	}
	fail(w, result.HTTPStatus, f)
}

func (s *Responder) lookup(w http.ResponseWriter, r *http.Request, c caller, call forwarder.Call) {
	limit, hedge := lookupTimeout, time.Duration(0)
	if rule, ok := c.rules.Lookups[call.Service]; ok {
		limit, hedge = rule.Finish, rule.Hedge
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	begin := s.options.Clock.Now()
	a, err := s.options.Forwarder.Lookup(ctx, call, hedge)
	s.options.Scope.Timer("lookup").Record(s.options.Clock.Since(begin))
	s.relay(w, a, err)
}

// single sends a call that is not idempotent and has no rule: once, without a guard against repeats of the caller.
func (s *Responder) single(w http.ResponseWriter, r *http.Request, call forwarder.Call) {
	ctx, cancel := detach(r.Context(), lookupTimeout)
	defer cancel()
	a, err := s.options.Forwarder.Once(ctx, call)
	s.relay(w, a, err)
}

func (s *Responder) relay(w http.ResponseWriter, a forwarder.Answer, err error) {
	var unsent *forwarder.NotSentError
	if errors.As(err, &unsent) {
		fail(w, http.StatusServiceUnavailable, notRun("service_unreachable", unsent.Reason).after(time.Second))
		return
	}
	if err != nil {
		fail(w, http.StatusBadGateway, Failure{Code: "answer_lost", Message: err.Error(), Outcome: executor.Unclear}.after(time.Second))
		return
	}
	writeAnswer(w, a)
}

func writeAnswer(w http.ResponseWriter, a forwarder.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	for _, name := range hopHeaders {
		w.Header().Del(name)
	}
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
