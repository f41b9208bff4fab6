package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// crashPause is the time that a crashed endpoint takes to close its socket.
	crashPause = 50 * time.Millisecond
	// crashTimeout is how long an endpoint may take to accept a connection before it counts as crashed.
	crashTimeout = 500 * time.Millisecond
)

// Outcome is what is known of a send that brought no answer to pass on.
type Outcome uint8

// The outcomes, by what the caller may be told.
const (
	// NotSent means that no byte can have reached the endpoint.
	NotSent Outcome = iota
	// NotRun means that the endpoint promises not to have run the request.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

func (o Outcome) String() string { return [...]string{"not sent", "not run", "unknown"}[o] }

// SendError reports a send without an answer to pass on.
type SendError struct {
	Endpoint string
	Outcome  Outcome
	Reason   string
	// Wait is how long endpoints want nothing more, 0 if none has asked for a pause.
	Wait time.Duration
}

func (e *SendError) Error() string {
	return fmt.Sprintf("sender: unable to get an answer of %s: %s", e.Endpoint, e.Reason)
}

// IsRefused tells whether the endpoint turned the request away, now or by a pause that it asked for.
func (e *SendError) IsRefused() bool { return e.Outcome == NotRun || e.Wait > 0 }

// outgoing returns the request for one send of a job.
func (x *Sender) outgoing(ctx context.Context, j *Job, e *enlister.Endpoint, s Send) (*http.Request, error) {
	r, err := dialer.Request(ctx, j.Method, "http://"+e.Address.String()+"/", bytes.NewReader(j.Body), int64(len(j.Body)))
	if err != nil {
		return nil, err
	}
	r.URL = &url.URL{Scheme: "http", Host: e.Address.String(), Opaque: j.Target}
	r.Host = j.Host
	if r.Header = j.Header.Clone(); r.Header == nil {
		r.Header = make(http.Header)
	}
	dropHopByHop(r.Header)
	for name := range r.Header {
		if x.Dialect.IsOwn(name) {
			r.Header.Del(name)
		}
	}
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "") // keeps the client from adding its own
	}
	s.Endpoint = e.ID
	s.Deadline = j.Left(x.Clock.Now())
	x.Dialect.Send(r.Header, s)
	return r, nil
}

// Open sends a job to e and returns the answer once its headers are there and belong to the request. The error is a
// *SendError.
func (x *Sender) Open(ctx context.Context, j *Job, e *enlister.Endpoint, s Send) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, x.unanswered(j, e, NotSent, "no time is left") // which says nothing of the endpoint
	}
	if until := e.PausedUntil(); x.Clock.Now().Before(until) {
		failed := x.unanswered(j, e, NotSent, "the endpoint asked for a pause")
		failed.Wait = until.Sub(x.Clock.Now())
		return nil, failed
	}
	r, err := x.outgoing(ctx, j, e, s)
	if err != nil {
		return nil, &SendError{Endpoint: e.ID, Outcome: NotSent, Reason: err.Error()}
	}
	resp, sent, err := x.client.Do(r)
	if err != nil {
		return nil, x.failed(ctx, j, e, sent, err)
	}
	a := x.Dialect.Answer(resp, j.ID)
	if resp.StatusCode != http.StatusMisdirectedRequest {
		x.Endpoints.ApplyNotice(e, a.Notice)
	}
	if a.NotRun {
		_ = resp.Body.Close()
		reason := fmt.Sprintf("refused with %d", resp.StatusCode)
		if resp.StatusCode == http.StatusMisdirectedRequest {
			e.UpdateHealth(func(h *ejector.Health) { h.Refused(x.Clock.Now()) })
			reason = "another endpoint has the address"
		}
		return nil, x.unanswered(j, e, NotRun, reason)
	}
	if a.IsForeign {
		_ = resp.Body.Close()
		return nil, x.Misanswered(j, e, "the answer belongs to another request")
	}
	return resp, nil
}

// failed judges a send that brought no headers.
func (x *Sender) failed(ctx context.Context, j *Job, e *enlister.Endpoint, sent bool, err error) error {
	outcome := NotSent
	if sent {
		outcome = Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case sent:
		return x.BrokenOff(ctx, j, e, err.Error())
	default:
		e.UpdateHealth(func(h *ejector.Health) { h.Refused(x.Clock.Now()) })
		x.Isolator.RecordRemoval(e.ID)
	}
	return x.unanswered(j, e, outcome, err.Error())
}

// broke notes a request that an endpoint broke off before the request's time was over.
func (x *Sender) broke(ctx context.Context, j *Job, e *enlister.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	x.Isolator.RecordBrokenRequest(e.ID, j.Fingerprint)
	go x.confirmGone(e)
}

// confirmGone finds out whether an endpoint that broke off a request has crashed.
func (x *Sender) confirmGone(e *enlister.Endpoint) {
	x.Clock.Sleep(crashPause)
	conn, err := net.DialTimeout("tcp", e.Address.String(), crashTimeout)
	if err != nil {
		x.Isolator.RecordRemoval(e.ID)
		return
	}
	_ = conn.Close()
}

// NoEndpoint is the end of a request for which no endpoint can be called: none is listed, or all ask for a pause.
func (x *Sender) NoEndpoint(service string) *SendError {
	if _, ends := x.Endpoints.Paused(service); !ends.IsZero() {
		return &SendError{Outcome: NotSent, Reason: "every endpoint asks for a pause", Wait: ends.Sub(x.Clock.Now())}
	}
	return &SendError{Outcome: NotSent, Reason: "no endpoint is listed"}
}

// unanswered logs a send without an answer to pass on.
func (x *Sender) unanswered(j *Job, e *enlister.Endpoint, outcome Outcome, reason string) *SendError {
	eventer.Warn(x.Logs, eventer.SendFailed, "request", j.ID, "endpoint", e.ID, "service", e.Service,
		"stage", e.Stage.String(), "outcome", outcome.String(), "reason", reason, "sends", j.Sends.Load())
	return &SendError{Endpoint: e.ID, Outcome: outcome, Reason: reason}
}

// Misanswered judges an endpoint whose answer makes no sense.
func (x *Sender) Misanswered(j *Job, e *enlister.Endpoint, reason string) *SendError {
	e.UpdateHealth(func(h *ejector.Health) { h.Failed(x.Clock.Now()) })
	return x.unanswered(j, e, Unknown, reason)
}

// BrokenOff judges an endpoint that broke off its answer.
func (x *Sender) BrokenOff(ctx context.Context, j *Job, e *enlister.Endpoint, reason string) *SendError {
	x.broke(ctx, j, e)
	return x.Misanswered(j, e, reason)
}

// Whole reads the answer of a send that was begun at a time to its end, and judges the endpoint by it. The error is a
// *SendError: a part of an answer is none.
func (x *Sender) Whole(ctx context.Context, j *Job, e *enlister.Endpoint, resp *http.Response, begun time.Time) (*Reply, error) {
	defer resp.Body.Close()
	body, err := x.buffers.readAll(resp.Body)
	if err != nil {
		return nil, x.BrokenOff(ctx, j, e, err.Error())
	}
	x.judge(e, resp.StatusCode, x.Clock.Now().Sub(begun))
	return &Reply{Endpoint: e, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Exchange sends a job to e and returns its whole answer.
func (x *Sender) Exchange(ctx context.Context, j *Job, e *enlister.Endpoint, s Send) (*Reply, error) {
	defer e.Begin()()
	begun := x.Clock.Now()
	resp, err := x.Open(ctx, j, e, s)
	if err != nil {
		return nil, err
	}
	return x.Whole(ctx, j, e, resp, begun)
}

// judge takes the status of a whole answer into an endpoint's health.
func (x *Sender) judge(e *enlister.Endpoint, status int, took time.Duration) {
	e.UpdateHealth(func(h *ejector.Health) {
		if status >= http.StatusInternalServerError {
			h.Answered(took)
			return
		}
		h.Succeeded(took)
	})
}
