package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

// Outcome is what is known about the execution of a request whose send failed.
type Outcome uint8

// The outcomes of a failed send.
const (
	// NotSent means that no byte has reached the endpoint.
	NotSent Outcome = iota
	// NotRun means that the endpoint guarantees that it did not run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

func (o Outcome) String() string { return [...]string{"not sent", "not run", "unknown"}[o] }

// SendError reports a send that returned no usable answer.
type SendError struct {
	Endpoint string
	Outcome  Outcome
	Reason   string
	// IsConvicted is set if the request is known to crash endpoints.
	IsConvicted bool
	// Denial is why the job may not be sent to any endpoint, nil if others may be tried.
	Denial error
	// RetryAfter is the time until the end of a pause that endpoints have requested, or until a rate limit permits the next
	// request; 0 if there is neither.
	RetryAfter time.Duration
	// IsUnread is set if the endpoint has answered, but there was no room to read the answer in time.
	IsUnread bool
}

func (e *SendError) Error() string {
	return fmt.Sprintf("sender: unable to get an answer from %s: %s", e.Endpoint, e.Reason)
}

// NewConvictedError returns the error of a request that is known to crash endpoints and is not sent. The endpoint is empty if none was
// chosen yet.
func NewConvictedError(endpoint string) *SendError {
	return &SendError{Endpoint: endpoint, Outcome: NotSent, IsConvicted: true, Reason: "endpoints crashed while they ran such requests"}
}

// IsFinal reports whether the job must not be sent to another endpoint.
func (e *SendError) IsFinal() bool { return e.IsConvicted || e.IsUnread || e.Denial != nil }

// IsRefused reports whether the endpoint refused the request, directly or by an earlier notice.
func (e *SendError) IsRefused() bool { return e.Outcome == NotRun || e.RetryAfter > 0 }

// TargetError reports a request target that cannot be sent unchanged.
type TargetError struct {
	Target string
	Reason string
}

func (e *TargetError) Error() string {
	return fmt.Sprintf("sender: unable to send the request target %q: %s", e.Target, e.Reason)
}

// CheckTarget returns a *TargetError if a request target cannot be sent unchanged.
func CheckTarget(target string) error {
	_, err := targetURL("", target)
	return err
}

// targetURL returns a URL that the HTTP client writes as target, byte for byte. The error is a *TargetError.
func targetURL(host, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: host, Opaque: target}, nil
	}
	// As an opaque part, two slashes would begin a host name.
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		return nil, &TargetError{Target: target, Reason: err.Error()}
	}
	u := &url.URL{Scheme: "http", Host: host, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != target {
		return nil, &TargetError{Target: target, Reason: "a path that begins with two slashes must have all special characters escaped"}
	}
	return u, nil
}

// newRequest builds the HTTP request for one send of a job.
func (s *Sender) newRequest(ctx context.Context, j *Job, e *discoverer.Endpoint, o Send) (*http.Request, error) {
	r, err := dialer.Request(ctx, j.Method, "http://"+e.Address.String()+"/", bytes.NewReader(j.Body), int64(len(j.Body)))
	if err != nil {
		return nil, err
	}
	if r.URL, err = targetURL(e.Address.String(), j.Target); err != nil {
		return nil, err
	}
	r.Host = j.Host
	if r.Header = j.Header.Clone(); r.Header == nil {
		r.Header = make(http.Header)
	}
	dropHopByHop(r.Header)
	for name := range r.Header {
		if s.Dialect.IsOwn(name) {
			r.Header.Del(name)
		}
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "") // an empty value prevents the client from adding its own
	}
	o.Endpoint, o.Organisation = e.ID, j.Organisation
	o.Deadline = j.Left(s.Clock.Now())
	s.Dialect.Send(r.Header, o)
	return r, nil
}

// Open sends a job to e and returns the answer once its headers have arrived and match the request. The error is a
// *SendError.
func (s *Sender) Open(ctx context.Context, j *Job, e *discoverer.Endpoint, o Send) (*http.Response, error) {
	return s.open(ctx, ctx, j, e, o)
}

// open is Open with a context of its own for the connection, which ends with ctx at the latest until there is an answer.
func (s *Sender) open(ctx, connection context.Context, j *Job, e *discoverer.Endpoint, o Send) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, s.newSendError(j, e, NotSent, "the context of the request has ended") // no fault of the endpoint
	}
	if s.Isolator.IsConvicted(j.Work()) {
		return nil, NewConvictedError(e.ID)
	}
	if until := e.PausedUntil(); s.Clock.Now().Before(until) {
		failed := s.newSendError(j, e, NotSent, "the endpoint has requested a pause")
		failed.RetryAfter = until.Sub(s.Clock.Now())
		return nil, failed
	}
	if err := s.permit(ctx, j, e, o); err != nil {
		return nil, err
	}
	r, err := s.newRequest(connection, j, e, o)
	if err != nil {
		return nil, &SendError{Endpoint: e.ID, Outcome: NotSent, Reason: err.Error()}
	}
	if failed := s.checkStart(j, e); failed != nil {
		return nil, failed
	}
	sentAt := s.Clock.Now()
	resp, sent, err := s.client.Do(r)
	if err != nil {
		return nil, s.classifyFailure(ctx, j, e, sent, err)
	}
	a := s.Dialect.Answer(resp, j.ID)
	if resp.StatusCode != http.StatusMisdirectedRequest {
		s.Endpoints.ApplyNotice(e, a.Notice)
		if !a.IsForeign && !a.NotRun {
			s.Endpoints.ApplyAnswerLimit(e, a.Notice, sentAt)
		}
	}
	if a.IsForeign { // also a refusal, which then says nothing about this request
		_ = resp.Body.Close()
		return nil, s.InvalidAnswer(j, e, "the answer belongs to another request")
	}
	if a.NotRun {
		_ = resp.Body.Close()
		reason := fmt.Sprintf("refused with %d", resp.StatusCode)
		if resp.StatusCode == http.StatusMisdirectedRequest {
			e.UpdateHealth(func(h *ejector.Health) { h.RecordConnectFailure(s.Clock.Now()) })
			reason = "the address belongs to another endpoint"
		}
		return nil, s.newSendError(j, e, NotRun, reason)
	}
	return resp, nil
}

// checkStart returns the error of a job that may not be sent any more, nil if it may. It comes last before the send, as the host may have
// been suspended while the job waited.
func (s *Sender) checkStart(j *Job, e *discoverer.Endpoint) *SendError {
	if j.Left(s.Clock.Now()) <= 0 {
		return s.newSendError(j, e, NotSent, "the deadline of the request has passed")
	}
	if j.MayStart == nil {
		return nil
	}
	if err := j.MayStart(); err != nil {
		failed := s.newSendError(j, e, NotSent, err.Error())
		failed.Denial = err
		return failed
	}
	return nil
}

// classifyFailure returns the error of a send that returned no headers, and updates the endpoint's health.
func (s *Sender) classifyFailure(ctx context.Context, j *Job, e *discoverer.Endpoint, sent bool, err error) error {
	outcome := NotSent
	if sent {
		outcome = Unknown
	}
	var invalid *dialer.InvalidAnswerError
	switch {
	case errors.As(err, &invalid): // the endpoint has answered, so it has not crashed
		return s.InvalidAnswer(j, e, err.Error())
	case errors.Is(ctx.Err(), context.Canceled):
	case sent:
		return s.AnswerInterrupted(ctx, j, e, err.Error())
	default:
		e.UpdateHealth(func(h *ejector.Health) { h.RecordConnectFailure(s.Clock.Now()) })
		s.Isolator.RecordRemoval(e.ID)
	}
	return s.newSendError(j, e, outcome, err.Error())
}

// recordInterruption records that an endpoint interrupted a request, unless the request's context has ended. Prefill engines write no
// output on the parts of a prompt.
func (s *Sender) recordInterruption(ctx context.Context, j *Job, e *discoverer.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	work := j.Work()
	if e.Stage == enroller.Prefill || j.HasOutput.Load() {
		work.Parts = nil
	}
	s.Isolator.RecordInterruption(isolator.Endpoint{ID: e.ID, Start: e.IncarnationStart, Address: e.Address}, work)
}

// NoEndpointError returns the error of a request without a usable endpoint: none is listed, or all are paused.
func (s *Sender) NoEndpointError(service string) *SendError {
	if _, ends := s.Endpoints.Paused(service); !ends.IsZero() {
		return &SendError{Outcome: NotSent, Reason: "every endpoint has requested a pause", RetryAfter: ends.Sub(s.Clock.Now())}
	}
	return &SendError{Outcome: NotSent, Reason: "no endpoint is listed"}
}

// newSendError logs a failed send and returns its error.
func (s *Sender) newSendError(j *Job, e *discoverer.Endpoint, outcome Outcome, reason string) *SendError {
	pairs := []any{
		"request", j.ID, "endpoint", e.ID, "service", e.Service,
		"stage", e.Stage.String(), "outcome", outcome.String(), "reason", reason, "sends", j.Sends.Load(),
	}
	if len(j.Parts) > 0 {
		pairs = append(pairs, "parts", fmt.Sprintf("%x", j.Parts), "output", j.HasOutput.Load())
	}
	eventlogger.Warn(s.Logs, eventlogger.SendFailed, pairs...)
	return &SendError{Endpoint: e.ID, Outcome: outcome, Reason: reason}
}

// InvalidAnswer records a failure of an endpoint whose answer is invalid.
func (s *Sender) InvalidAnswer(j *Job, e *discoverer.Endpoint, reason string) *SendError {
	e.UpdateHealth(func(h *ejector.Health) { h.RecordFailure(s.Clock.Now()) })
	return s.newSendError(j, e, Unknown, reason)
}

// AnswerInterrupted records a failure of an endpoint that ended its answer early, and checks whether it has crashed.
func (s *Sender) AnswerInterrupted(ctx context.Context, j *Job, e *discoverer.Endpoint, reason string) *SendError {
	s.recordInterruption(ctx, j, e)
	return s.InvalidAnswer(j, e, reason)
}

// updateHealth records the status and the latency of a complete answer.
func (s *Sender) updateHealth(e *discoverer.Endpoint, status int, took time.Duration) {
	e.UpdateHealth(func(h *ejector.Health) {
		if status >= http.StatusInternalServerError {
			h.RecordErrorResponse(took)
			return
		}
		h.RecordSuccess(took)
	})
}
