package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// eventBufferBytes is the size of the read buffer; most events are smaller.
const eventBufferBytes = 4 << 10

// maxEventBytes bounds one event; a longer one counts as a broken stream.
const maxEventBytes = 64 << 10

// EventTooLongError reports an event that is longer than maxEventBytes.
type EventTooLongError struct {
	Read int
}

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("router: unable to read event: expected its end, got %d bytes without one", e.Read)
}

// paceEvents is the number of events over which the pace of a stream is measured.
const paceEvents = 12

// eventReader reads complete events from a stream.
type eventReader struct {
	r *bufio.Reader
}

// next returns one event including its terminator. At the end of the stream the error is io.EOF, and the bytes are those
// after the last event.
func (s *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, id, &EventTooLongError{Read: len(event)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = strings.TrimSpace(string(value))
		}
	}
}

// relay forwards one stream to the caller; the stream may be resumed at another endpoint.
type relay struct {
	router    *Router
	w         http.ResponseWriter
	control   *http.ResponseController
	j         *job
	committed bool
	// mayHaveRun is set once a send may have run the request, whatever the results of later sends.
	mayHaveRun bool
	lastEvent  string
	count      int
	firstAt    time.Time
	lastAt     time.Time
	maxPause   time.Duration
	// onFirstEvent is called at the first event, onPace after every further paceEvents events.
	onFirstEvent func()
	onPace       func(took time.Duration)
	// paceMeasuredAt is the start of the current pace measurement.
	paceMeasuredAt time.Time
}

func (rt *Router) newRelay(w http.ResponseWriter, j *job) *relay {
	return &relay{router: rt, w: w, control: http.NewResponseController(w), j: j, lastEvent: j.request.LastEvent}
}

// CallerDisconnectedError reports that writing to the caller failed.
type CallerDisconnectedError struct {
	Reason string
}

func (e *CallerDisconnectedError) Error() string {
	return "router: unable to write to the caller: " + e.Reason
}

// forwardEvents forwards the events of resp until the stream ends. The error is a *CallerDisconnectedError or the read
// error of the endpoint's stream.
func (l *relay) forwardEvents(resp *http.Response) error {
	defer resp.Body.Close()
	s := eventReader{r: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	for {
		event, id, err := s.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(event) > 0 {
			if werr := l.write(resp, event); werr != nil {
				return werr
			}
		}
		if id != "" {
			l.lastEvent = id
		}
		if err != nil {
			l.commit(resp)
			return nil
		}
	}
}

func (l *relay) commit(resp *http.Response) {
	if l.committed {
		return
	}
	l.committed = true
	sender.CopyHeader(l.w.Header(), resp.Header)
	l.w.WriteHeader(resp.StatusCode)
}

func (l *relay) write(resp *http.Response, event []byte) error {
	l.commit(resp)
	now := l.router.Clock.Now()
	if l.count == 0 {
		l.firstAt = now
		l.paceMeasuredAt = now
		if l.onFirstEvent != nil {
			l.onFirstEvent()
		}
	} else {
		l.maxPause = max(l.maxPause, now.Sub(l.lastAt))
	}
	l.lastAt = now
	if l.count++; l.onPace != nil && l.count%paceEvents == 0 {
		l.onPace(now.Sub(l.paceMeasuredAt))
		l.paceMeasuredAt = now
	}
	if _, err := l.w.Write(event); err != nil {
		return &CallerDisconnectedError{Reason: err.Error()}
	}
	if err := l.control.Flush(); err != nil {
		return &CallerDisconnectedError{Reason: err.Error()}
	}
	return nil
}

// complete logs a stream that ended regularly.
func (l *relay) complete() {
	l.trace()
	l.router.logEnd(l.j, result{})
}

// trace adds the progress of the stream to the log record.
func (l *relay) trace() {
	if l.count == 0 {
		return
	}
	l.j.Trace.Set("events", l.count)
	l.j.Trace.Set("first_ms", l.firstAt.Sub(l.j.started).Milliseconds())
	l.j.Trace.Set("pause_ms", l.maxPause.Milliseconds())
	l.j.Trace.Set("last_ms", l.lastAt.Sub(l.j.started).Milliseconds())
}

// abort breaks the connection so that the caller cannot take the stream for complete. It does not return.
func (l *relay) abort(e result) {
	l.trace()
	l.router.logEnd(l.j, e)
	panic(http.ErrAbortHandler)
}

// run opens the stream at e and forwards it. isFinal means that the caller got its final answer and no send may follow.
func (l *relay) run(ctx context.Context, e *discoverer.Endpoint, s sender.Send) (isFinal bool, err error) {
	rt := l.router
	defer e.Begin()()
	l.j.Trace.Set("endpoint", e.ID)
	s.LastEventID = l.lastEvent
	begun := rt.Clock.Now()
	resp, err := rt.Sender.Open(ctx, &l.j.Job, e, s)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		return l.forwardFailure(ctx, e, resp, begun)
	}
	err = l.forwardEvents(resp)
	var disconnected *CallerDisconnectedError
	switch {
	case err == nil:
		e.UpdateHealth(func(h *ejector.Health) { h.RecordSuccess(rt.Clock.Now().Sub(begun)) })
		rt.Sender.Isolator.RecordCompletion(l.j.Fingerprint)
		l.complete()
		return true, nil
	case errors.As(err, &disconnected) || errors.Is(ctx.Err(), context.Canceled):
		l.abort(result{reason: "caller disconnected"})
	case ctx.Err() != nil:
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: "deadline exceeded"}
	}
	return false, rt.Sender.AnswerInterrupted(ctx, &l.j.Job, e, err.Error())
}

// forwardFailure forwards an answer that is not a stream, unless events were already sent to the caller.
func (l *relay) forwardFailure(ctx context.Context, e *discoverer.Endpoint, resp *http.Response, begun time.Time) (bool, error) {
	rt := l.router
	reply, err := rt.Sender.ReadReply(ctx, &l.j.Job, e, resp, begun)
	if err != nil {
		return false, err
	}
	if l.committed {
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: "unable to resume stream: endpoint did not answer with a stream"}
	}
	rt.Sender.Isolator.RecordCompletion(l.j.Fingerprint)
	rt.writeReply(l.w, l.j, reply)
	return true, nil
}

// respond gives the final answer of a stream that is not retried. It sends e, which states that nothing ran, only if that
// is known.
func (l *relay) respond(ctx context.Context, e result) {
	switch {
	case l.committed:
		l.abort(result{reason: "stream interrupted: " + e.reason})
	case l.mayHaveRun:
		l.router.respond(l.w, l.j, unknownOutcome(ctx, e.reason))
	default:
		l.router.respond(l.w, l.j, e)
	}
}

// respondFailed gives the final answer of a stream that no endpoint completed.
func (l *relay) respondFailed(ctx context.Context, failed *sender.SendError) {
	l.respond(ctx, result{status: http.StatusServiceUnavailable, reason: failed.Reason, retryAfter: max(minRetryAfter, failed.Wait)})
}

// mayRetry reports whether a stream that failed with err may be tried again. If no send reached an endpoint it may, else
// only within the attempts and the retry budget, and if it may have run, only if the stream is resumable.
func (l *relay) mayRetry(ctx context.Context, err error) (failed *sender.SendError, again bool) {
	if !errors.As(err, &failed) {
		failed = &sender.SendError{Outcome: sender.Unknown, Reason: err.Error()}
	}
	if failed.Outcome == sender.NotSent {
		return failed, ctx.Err() == nil
	}
	l.mayHaveRun = l.mayHaveRun || failed.Outcome == sender.Unknown
	if sends := int(l.j.Sends.Add(1)); ctx.Err() != nil || sends >= l.j.MaxAttempts {
		return failed, false
	}
	if failed.Outcome == sender.Unknown && !l.j.route.Resumable {
		return failed, false
	}
	return failed, l.router.Sender.MayResend(l.j.Service)
}

// stream forwards a stream of a service without separate prefill and decode engines.
func (rt *Router) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	rt.Sender.CountRequest(j.Service)
	l := rt.newRelay(w, j)
	tried := make(map[string]bool)
	failed := rt.Sender.NoEndpointError(j.Service)
	for ctx.Err() == nil {
		e := rt.Sender.Pick(rt.Sender.Endpoints.Service(j.Service), tried)
		if e == nil {
			break
		}
		tried[e.ID] = true
		isFinal, err := l.run(ctx, e, sender.Send{})
		if isFinal {
			return
		}
		var again bool
		if failed, again = l.mayRetry(ctx, err); !again {
			break
		}
	}
	l.respondFailed(ctx, failed)
}
