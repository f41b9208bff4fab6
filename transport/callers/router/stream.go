package router

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/protocol/splitter"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// paceEvents is the number of events over which the pace of a stream is measured.
const paceEvents = 12

// relay forwards one stream to the caller; the stream may be resumed at another endpoint.
type relay struct {
	router    *Router
	w         http.ResponseWriter
	control   *http.ResponseController
	j         *job
	committed bool
	// isPlaced is set for generations, whose placement includes that streams may begin at the engine's software version.
	isPlaced bool
	// version is the software version that has begun the stream, or that alone may begin it; empty until then.
	version string
	// mayHaveRun is set once a send may have run the request, whatever the results of later sends.
	mayHaveRun  bool
	lastEventID string
	count       int
	firstAt     time.Time
	lastAt      time.Time
	maxPause    time.Duration
	// framing is how the endpoint delimited the newest answer, rest the number of bytes after its last complete event.
	framing sender.Framing
	rest    int
	// onFirstEvent is called at the first event, onPace after every further paceEvents events.
	onFirstEvent func()
	onPace       func(took time.Duration)
	// paceMeasuredAt is the start of the current pace measurement.
	paceMeasuredAt time.Time
}

func (rt *Router) newRelay(w http.ResponseWriter, j *job) *relay {
	return &relay{router: rt, w: w, control: http.NewResponseController(w), j: j, version: j.version, lastEventID: j.request.LastEventID}
}

// CallerDisconnectedError reports that writing to the caller failed.
type CallerDisconnectedError struct {
	Reason string
}

func (e *CallerDisconnectedError) Error() string {
	return "router: unable to write to the caller: " + e.Reason
}

// EmptyStreamError reports an answer without an event that does not show that the stream has ended: it has no length, or it was to go on
// with a stream.
type EmptyStreamError struct{}

func (e *EmptyStreamError) Error() string {
	return "router: unable to tell whether the stream has ended: the answer ended before its first event"
}

// RepeatedEventError reports a resumed stream with an event that the caller has already.
type RepeatedEventError struct {
	ID   string
	Last string
}

func (e *RepeatedEventError) Error() string {
	return fmt.Sprintf("router: unable to resume stream: expected an event after %s, got %s", e.Last, e.ID)
}

// UnnumberedEventError reports an answer that was to go on with a stream, but whose first event has no ID that shows its place in it.
type UnnumberedEventError struct {
	Last string
}

func (e *UnnumberedEventError) Error() string {
	return fmt.Sprintf("router: unable to resume stream: expected an event after %q, got one without an ID", e.Last)
}

// isAfter reports whether an event ID follows another. Only numbers can be compared.
func isAfter(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || n > m
}

// EngineEndedError reports a stream without a length that ended together with its endpoint.
type EngineEndedError struct{}

func (e *EngineEndedError) Error() string {
	return "router: unable to tell a stream without a length from a partial one: its endpoint has ended"
}

// forwardEvents forwards the events of resp from e until the stream ends. The error is a *CallerDisconnectedError, the read error of
// the endpoint's stream, or tells that the stream was broken off.
func (rl *relay) forwardEvents(ctx context.Context, e *discoverer.Endpoint, resp *http.Response) error {
	defer resp.Body.Close()
	rl.framing = sender.FramingOf(resp)
	events := splitter.New(resp.Body)
	before, resumedAfter, isContinued := rl.count, rl.lastEventID, rl.committed
	for {
		event, err := events.Next()
		rl.rest = events.Rest()
		if errors.Is(err, io.EOF) {
			if rl.count == before && (isContinued || rl.framing == sender.FramedByClose) {
				return &EmptyStreamError{}
			}
			return rl.finish(ctx, e, resp)
		}
		if err != nil {
			return err
		}
		if isContinued && rl.count == before && event.ID == "" && !event.IsComment {
			return &UnnumberedEventError{Last: resumedAfter}
		}
		if !isAfter(event.ID, resumedAfter) {
			return &RepeatedEventError{ID: event.ID, Last: resumedAfter}
		}
		if err := rl.write(e, resp, event); err != nil {
			return err
		}
		if event.ID != "" {
			rl.lastEventID = event.ID
		}
	}
}

// finish ends a stream after the last event of resp. Without a length, an end between two events may be that of the endpoint. The
// events have been forwarded before, so the check delays the end only.
func (rl *relay) finish(ctx context.Context, e *discoverer.Endpoint, resp *http.Response) error {
	if rl.framing == sender.FramedByClose && rl.router.Sender.HasEnded(ctx, e) {
		return &EngineEndedError{}
	}
	rl.commit(e, resp)
	return nil
}

func (rl *relay) commit(e *discoverer.Endpoint, resp *http.Response) {
	if rl.committed {
		return
	}
	rl.committed = true
	rl.version = e.Version
	rl.registerOrigin(e)
	sender.CopyHeader(rl.w.Header(), resp.Header)
	rl.w.WriteHeader(resp.StatusCode)
}

// write forwards one event. Comments do not count as events.
func (rl *relay) write(e *discoverer.Endpoint, resp *http.Response, event splitter.Event) error {
	rl.commit(e, resp)
	if !event.IsComment {
		rl.countEvent()
	}
	if _, err := rl.w.Write(event.Bytes); err != nil {
		return &CallerDisconnectedError{Reason: err.Error()}
	}
	if err := rl.control.Flush(); err != nil {
		return &CallerDisconnectedError{Reason: err.Error()}
	}
	return nil
}

func (rl *relay) countEvent() {
	if !rl.j.HasOutput.Swap(true) {
		rl.router.Sender.Isolator.RecordOutput(rl.j.Parts)
	}
	now := rl.router.Clock.Now()
	if rl.count == 0 {
		rl.firstAt = now
		rl.paceMeasuredAt = now
		if rl.onFirstEvent != nil {
			rl.onFirstEvent()
		}
	} else {
		rl.maxPause = max(rl.maxPause, now.Sub(rl.lastAt))
	}
	rl.lastAt = now
	if rl.count++; rl.onPace != nil && rl.count%paceEvents == 0 {
		rl.onPace(now.Sub(rl.paceMeasuredAt))
		rl.paceMeasuredAt = now
	}
}

// complete logs a stream that ended regularly.
func (rl *relay) complete() {
	rl.trace()
	rl.router.logEnd(rl.j, result{})
}

// trace adds the progress of the stream to the log record.
func (rl *relay) trace() {
	if rl.framing != "" {
		rl.j.Trace.Set("framing", rl.framing)
		rl.j.Trace.Set("rest", rl.rest)
	}
	if rl.count == 0 {
		return
	}
	rl.j.Trace.Set("events", rl.count)
	rl.j.Trace.Set("first_ms", rl.firstAt.Sub(rl.j.started).Milliseconds())
	rl.j.Trace.Set("pause_ms", rl.maxPause.Milliseconds())
	rl.j.Trace.Set("last_ms", rl.lastAt.Sub(rl.j.started).Milliseconds())
}

// abort breaks the connection so that the caller cannot take the stream for complete. It does not return.
func (rl *relay) abort(res result) {
	rl.trace()
	rl.router.logEnd(rl.j, res)
	if rl.committed && rl.j.endsByClose {
		rl.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection to the caller.
func (rl *relay) reset() {
	conn, _, err := rl.control.Hijack()
	if err != nil {
		return // only writers without a connection cannot be hijacked, such as in tests
	}
	defer conn.Close()
	plain := conn
	if t, ok := conn.(*tls.Conn); ok {
		plain = t.NetConn()
	}
	if tcp, ok := plain.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
		_ = plain.Close() // before TLS can say that the answer is complete
	}
}

// run opens the stream at e and forwards it. isFinal means that the caller got its final answer and no send may follow.
func (rl *relay) run(ctx context.Context, e *discoverer.Endpoint, s sender.Send) (isFinal bool, err error) {
	rt := rl.router
	if !rl.mayUse(e) {
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.NotSent, Reason: "the endpoint runs another version of its software"}
	}
	defer e.Begin()()
	rl.j.Trace.Set("endpoint", e.ID)
	rl.j.Trace.Set("version", e.Version)
	s.LastEventID = rl.lastEventID
	begun := rt.Clock.Now()
	resp, err := rt.Sender.Open(ctx, &rl.j.Job, e, s)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK || sender.IsDocument(resp) {
		return rl.forwardReply(ctx, e, resp, begun)
	}
	err = rl.forwardEvents(ctx, e, resp)
	var disconnected *CallerDisconnectedError
	switch {
	case err == nil:
		e.UpdateHealth(func(h *ejector.Health) { h.RecordSuccess(rt.Clock.Now().Sub(begun)) })
		rt.Sender.Isolator.RecordCompletion(rl.j.Fingerprint)
		rl.complete()
		return true, nil
	case errors.As(err, &disconnected) || hasCallerLeft(ctx):
		rl.abort(result{reason: "caller disconnected"})
	case ctx.Err() != nil:
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: context.Cause(ctx).Error()}
	}
	return false, rt.Sender.AnswerInterrupted(ctx, &rl.j.Job, e, err.Error())
}

// forwardReply forwards an answer that is not a stream, unless events were already sent to the caller.
func (rl *relay) forwardReply(ctx context.Context, e *discoverer.Endpoint, resp *http.Response, begun time.Time) (bool, error) {
	rt := rl.router
	reply, err := rt.Sender.ReadReply(ctx, &rl.j.Job, e, resp, begun)
	if err != nil {
		return false, err
	}
	if rl.committed {
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: "unable to resume stream: endpoint did not answer with a stream"}
	}
	if reply.Status == http.StatusOK {
		rt.Sender.Isolator.RecordOutput(rl.j.Parts)
	}
	rt.Sender.Isolator.RecordCompletion(rl.j.Fingerprint)
	rt.writeReply(rl.w, rl.j, reply)
	return true, nil
}

// respond gives the final answer of a stream that is not retried. It sends e, which states that nothing ran, only if that
// is known.
func (rl *relay) respond(ctx context.Context, res result) {
	switch {
	case rl.committed:
		rl.abort(result{reason: "stream interrupted: " + res.reason})
	case rl.mayHaveRun:
		rl.router.respond(rl.w, rl.j, unknownOutcome(ctx, res.reason))
	default:
		rl.router.respond(rl.w, rl.j, res)
	}
}

// respondFailed gives the final answer of a stream that no endpoint completed.
func (rl *relay) respondFailed(ctx context.Context, failed *sender.SendError) {
	rl.respond(ctx, notRunResult(failed))
}

// mayRetry reports whether a stream that failed with err may be tried again. If no send reached an endpoint it may, else
// only within the attempts and the retry budget, and if it may have run, only if the stream is resumable.
func (rl *relay) mayRetry(ctx context.Context, err error) (failed *sender.SendError, again bool) {
	if !errors.As(err, &failed) {
		failed = &sender.SendError{Outcome: sender.Unknown, Reason: err.Error()}
	}
	if failed.IsFinal() {
		return failed, false
	}
	if failed.Outcome == sender.NotSent {
		return failed, ctx.Err() == nil
	}
	rl.mayHaveRun = rl.mayHaveRun || failed.Outcome == sender.Unknown
	if sends := int(rl.j.Sends.Add(1)); ctx.Err() != nil || sends >= rl.j.MaxAttempts {
		return failed, false
	}
	if failed.Outcome == sender.Unknown && !rl.j.route.Resumable {
		return failed, false
	}
	if rl.committed && rl.router.Origins != nil && !rl.router.Origins.MayResume() {
		return failed, false
	}
	return failed, rl.router.Sender.MayResend(rl.j.Service)
}

// stream forwards a stream of a service without separate prefill and decode engines.
func (rt *Router) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	rt.Sender.CountRequest(j.Service)
	rl := rt.newRelay(w, j)
	j.Accepts = rl.mayUse
	tried := make(map[string]bool)
	failed := rt.Sender.NoEndpointError(j.Service)
	if rl.version != "" && !slices.ContainsFunc(rt.Sender.Endpoints.Service(j.Service), rl.mayUse) {
		rl.respond(ctx, noVersionResult())
		return
	}
	for ctx.Err() == nil {
		e, isPermitted, refused := rt.Sender.Choose(ctx, &j.Job, tried)
		if e == nil {
			if refused != nil {
				failed = refused
			}
			break
		}
		tried[e.ID] = true
		isFinal, err := rl.run(ctx, e, sender.Send{IsPermitted: isPermitted})
		if isFinal {
			return
		}
		var again bool
		if failed, again = rl.mayRetry(ctx, err); !again {
			break
		}
	}
	rl.respondFailed(ctx, failed)
}
