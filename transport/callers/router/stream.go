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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// readSize is the size of the buffer for events in bytes; most events are smaller.
const readSize = 4 << 10

// maxEvent bounds an event in bytes: whoever sends more without its end sends none.
const maxEvent = 64 << 10

// EventError reports an event that is too long.
type EventError struct {
	Read int
}

func (e *EventError) Error() string {
	return fmt.Sprintf("router: an event has no end after %d bytes", e.Read)
}

// paceEvents is the number of events over which the pace of a stream is measured.
const paceEvents = 12

// events reads whole events from a stream.
type events struct {
	r *bufio.Reader
}

// next returns one event with its end. At the end of the stream the error is io.EOF, and the bytes are what came after
// the last event.
func (s *events) next() (event []byte, id string, err error) {
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, id, &EventError{Read: len(event)}
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

// relay is the passing on of one stream, which may go on at another endpoint.
type relay struct {
	router    *Router
	w         http.ResponseWriter
	control   *http.ResponseController
	j         *job
	committed bool
	// mayHaveRun is set once a send may have run the request, whatever became of later ones.
	mayHaveRun bool
	lastEvent  string
	count      int
	firstAt    time.Time
	lastAt     time.Time
	maxPause   time.Duration
	// began is called at the first event, paced after each paceEvents more.
	began func()
	paced func(took time.Duration)
	// pacedAt is when paced was last called.
	pacedAt time.Time
}

func (x *Router) newRelay(w http.ResponseWriter, j *job) *relay {
	return &relay{router: x, w: w, control: http.NewResponseController(w), j: j, lastEvent: j.request.LastEvent}
}

// CallerGoneError reports a caller that takes no more.
type CallerGoneError struct {
	Reason string
}

func (e *CallerGoneError) Error() string { return "router: the caller is gone: " + e.Reason }

// copy passes the events of resp on until the stream ends. The error is a *CallerGoneError, or what broke the stream.
func (l *relay) copy(resp *http.Response) error {
	defer resp.Body.Close()
	s := events{r: bufio.NewReaderSize(resp.Body, readSize)}
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
		l.pacedAt = now
		if l.began != nil {
			l.began()
		}
	} else {
		l.maxPause = max(l.maxPause, now.Sub(l.lastAt))
	}
	l.lastAt = now
	if l.count++; l.paced != nil && l.count%paceEvents == 0 {
		l.paced(now.Sub(l.pacedAt))
		l.pacedAt = now
	}
	if _, err := l.w.Write(event); err != nil {
		return &CallerGoneError{Reason: err.Error()}
	}
	if err := l.control.Flush(); err != nil {
		return &CallerGoneError{Reason: err.Error()}
	}
	return nil
}

// finishStream logs a stream that ended whole.
func (l *relay) finishStream() {
	l.trace()
	l.router.end(l.j, ending{})
}

// trace notes how far the stream came, for the log.
func (l *relay) trace() {
	if l.count == 0 {
		return
	}
	l.j.Trace.Set("events", l.count)
	l.j.Trace.Set("first_ms", l.firstAt.Sub(l.j.started).Milliseconds())
	l.j.Trace.Set("pause_ms", l.maxPause.Milliseconds())
	l.j.Trace.Set("last_ms", l.lastAt.Sub(l.j.started).Milliseconds())
}

// abort ends a stream so that it cannot look complete. It does not return.
func (l *relay) abort(e ending) {
	l.trace()
	l.router.end(l.j, e)
	panic(http.ErrAbortHandler)
}

// run opens the stream at e and passes it on. It tells whether the request is settled: answered, or ended for good.
func (l *relay) run(ctx context.Context, e *enlister.Endpoint, s sender.Send) (settled bool, err error) {
	x := l.router
	defer e.Begin()()
	l.j.Trace.Set("endpoint", e.ID)
	s.LastEvent = l.lastEvent
	begun := x.Clock.Now()
	resp, err := x.Sender.Open(ctx, &l.j.Job, e, s)
	if err != nil {
		return false, err
	}
	if resp.StatusCode != http.StatusOK {
		return l.failure(ctx, e, resp, begun)
	}
	err = l.copy(resp)
	var gone *CallerGoneError
	switch {
	case err == nil:
		e.UpdateHealth(func(h *ejector.Health) { h.Succeeded(x.Clock.Now().Sub(begun)) })
		x.Sender.Isolator.RecordCompletion(l.j.Fingerprint)
		l.finishStream()
		return true, nil
	case errors.As(err, &gone) || errors.Is(ctx.Err(), context.Canceled):
		l.abort(ending{reason: "the caller is gone"})
	case ctx.Err() != nil:
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: "the deadline is reached"}
	}
	return false, x.Sender.BrokenOff(ctx, &l.j.Job, e, err.Error())
}

// failure passes an answer other than a stream on, unless events went out already.
func (l *relay) failure(ctx context.Context, e *enlister.Endpoint, resp *http.Response, begun time.Time) (bool, error) {
	x := l.router
	reply, err := x.Sender.Whole(ctx, &l.j.Job, e, resp, begun)
	if err != nil {
		return false, err
	}
	if l.committed {
		return false, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: "no stream to go on with"}
	}
	x.Sender.Isolator.RecordCompletion(l.j.Fingerprint)
	x.pass(l.w, l.j, reply)
	return true, nil
}

// finish gives the final answer of a stream that is not sent on: e, which promises that nothing ran, if that is so.
func (l *relay) finish(ctx context.Context, e ending) {
	switch {
	case l.committed:
		l.abort(ending{reason: "broken off: " + e.reason})
	case l.mayHaveRun:
		l.router.finish(l.w, l.j, unknown(ctx, e.reason))
	default:
		l.router.finish(l.w, l.j, e)
	}
}

// end gives the final answer of a stream that no endpoint brought to its end.
func (l *relay) end(ctx context.Context, failed *sender.SendError) {
	l.finish(ctx, ending{status: http.StatusServiceUnavailable, reason: failed.Reason, wait: max(retryPause, failed.Wait)})
}

// goesOn tells whether a stream that err kept from its end may be tried once more: without a send that reached an endpoint
// it may, else within the attempts and the budget, and after a run only if the stream may be resumed.
func (l *relay) goesOn(ctx context.Context, err error) (failed *sender.SendError, again bool) {
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

// stream serves a stream of a service without stages.
func (x *Router) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	x.Sender.CountRequest(j.Service)
	l := x.newRelay(w, j)
	tried := make(map[string]bool)
	failed := x.Sender.NoEndpoint(j.Service)
	for ctx.Err() == nil {
		e := x.Sender.Pick(x.Sender.Endpoints.Service(j.Service), tried)
		if e == nil {
			break
		}
		tried[e.ID] = true
		settled, err := l.run(ctx, e, sender.Send{})
		if settled {
			return
		}
		var again bool
		if failed, again = l.goesOn(ctx, err); !again {
			break
		}
	}
	l.end(ctx, failed)
}
