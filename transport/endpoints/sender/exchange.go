package sender

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

const (
	// restStallTimeout bounds how long a read of an answer that is being passed on waits for its endpoint after the deadline.
	restStallTimeout = 5 * time.Second
	// unreadTolerance is how long an answer may be left unread before its endpoint is not to blame for breaking it off.
	unreadTolerance = time.Second
)

// exchange is one send whose connection may outlive the context of the send: an answer that waits for room, or that is passed on, is
// not cut off at the time by which another endpoint would have been tried.
type exchange struct {
	sender   *Sender
	job      *Job
	endpoint *discoverer.Endpoint
	// ctx is the context of the send, connection that of the request to the endpoint.
	ctx        context.Context
	connection context.Context
	cancel     context.CancelFunc
	// unlink ends the dependence of connection on ctx.
	unlink func() bool
	// isWaiting is set once the answer has waited for room.
	isWaiting bool
	// end marks the request as ended at the endpoint.
	end   func()
	start time.Time
}

// Exchange sends a job to e and returns its answer. The error is a *SendError; a partial answer is discarded.
func (s *Sender) Exchange(ctx context.Context, j *Job, e *discoverer.Endpoint, o Send) (*Reply, error) {
	x := &exchange{sender: s, job: j, endpoint: e, ctx: ctx, end: e.Begin(), start: s.Clock.Now()}
	x.connection, x.cancel = context.WithCancel(context.WithoutCancel(ctx))
	x.unlink = context.AfterFunc(ctx, x.cancel)
	resp, err := s.open(ctx, x.connection, j, e, o)
	if err != nil {
		x.close()
		return nil, err
	}
	account := s.answers.Open()
	answer := &answerBuffer{account: account}
	if !j.MayPassOn || FramingOf(resp) == FramedByClose {
		answer.wait = x.waitForRoom
	}
	reply, err := s.readReply(ctx, j, e, resp, x.start, answer)
	if err != nil || reply.Rest == nil {
		x.close()
		return reply, err
	}
	x.passOn(reply.Rest)
	return reply, nil
}

func (x *exchange) close() {
	x.unlink()
	x.cancel()
	x.end()
}

// waitForRoom makes the connection depend on the deadline and the cancellation of the job only, and returns its context.
func (x *exchange) waitForRoom() context.Context {
	x.job.isUnread.Store(true)
	if x.isWaiting || !x.unlink() {
		return x.connection
	}
	x.isWaiting = true
	cancel, ctx := x.cancel, x.ctx
	release := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	x.unlink = release
	timer := x.sender.Clock.AfterFunc(x.job.Left(x.sender.Clock.Now()), cancel)
	x.cancel = func() {
		timer.Stop()
		cancel()
	}
	return x.connection
}

// passOn leaves the connection to rest.
func (x *exchange) passOn(rest *Rest) {
	rest.exchange = x
	x.unlink()
	x.unlink = func() bool { return true }
	if x.job.Abort != nil {
		x.unlink = context.AfterFunc(x.job.Abort, x.cancel)
	}
	rest.timer = x.sender.Clock.AfterFunc(rest.patience(), x.cancel)
	rest.timer.Stop()
	rest.lastRead = x.sender.Clock.Now()
}

// ReadReply reads the answer of a send that started at start to its end, and updates the endpoint's health. The error is a
// *SendError; a partial answer is discarded.
func (s *Sender) ReadReply(ctx context.Context, j *Job, e *discoverer.Endpoint, resp *http.Response, start time.Time) (*Reply, error) {
	wait := func() context.Context { return ctx }
	return s.readReply(ctx, j, e, resp, start, &answerBuffer{account: s.answers.Open(), wait: wait})
}

func (s *Sender) readReply(ctx context.Context, j *Job, e *discoverer.Endpoint, resp *http.Response, start time.Time, answer *answerBuffer) (*Reply, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody { // as in an answer to HEAD
		length = -1
	}
	isUnread := false
	if wait := answer.wait; wait != nil {
		answer.wait = func() context.Context {
			isUnread = true
			return wait()
		}
	}
	isWhole, err := answer.read(resp.Body, length)
	if err != nil {
		answer.account.Close()
		_ = resp.Body.Close()
		var long *TooLongError
		if isUnread && !errors.As(err, &long) {
			failed := s.newSendError(j, e, Unknown, "unable to read the answer in time: "+err.Error())
			failed.IsUnread = true
			return nil, failed
		}
		return nil, s.AnswerInterrupted(ctx, j, e, err.Error())
	}
	j.answers.add(answer.account)
	reply := &Reply{Endpoint: e, Status: resp.StatusCode, Header: resp.Header, Body: answer.body}
	if !isWhole {
		reply.Rest = &Rest{Length: length, read: len(answer.body), body: resp.Body}
		s.updateHealth(e, resp.StatusCode, s.Clock.Now().Sub(start))
		return reply, nil
	}
	_ = resp.Body.Close()
	if FramingOf(resp) == FramedByClose {
		switch isDocument := IsDocument(resp); {
		case isDocument && !json.Valid(answer.body):
			return nil, s.AnswerInterrupted(ctx, j, e, "the answer has no length and ends inside its document")
		case !isDocument && s.HasEnded(ctx, e):
			return nil, s.AnswerInterrupted(ctx, j, e, "the answer has no length and its endpoint has ended")
		}
	}
	s.updateHealth(e, resp.StatusCode, s.Clock.Now().Sub(start))
	return reply, nil
}

// Rest is the part of an answer that its endpoint still holds. It must be used by one goroutine.
type Rest struct {
	// Length is the length of the complete answer, negative if it is framed by chunks.
	Length   int64
	exchange *exchange
	body     io.ReadCloser
	timer    clockwork.Timer
	read     int
	lastRead time.Time
	// isOld is set if the answer was left unread for longer than unreadTolerance.
	isOld bool
}

// patience returns how long a read may wait for the endpoint.
func (r *Rest) patience() time.Duration {
	x := r.exchange
	return max(restStallTimeout, x.job.Left(x.sender.Clock.Now()))
}

// Read implements io.Reader. The error is io.EOF only after a complete answer, otherwise a *SendError.
func (r *Rest) Read(p []byte) (int, error) {
	x, clock := r.exchange, r.exchange.sender.Clock
	r.isOld = r.isOld || clock.Now().Sub(r.lastRead) > unreadTolerance
	r.timer.Reset(r.patience())
	n, err := r.body.Read(p)
	r.timer.Stop()
	r.lastRead = clock.Now()
	if r.read += n; r.read > maxAnswerBytes {
		err = &TooLongError{Read: r.read}
	}
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return n, err
	case r.isOld || x.connection.Err() != nil:
		return n, x.sender.newSendError(x.job, x.endpoint, Unknown, err.Error())
	}
	return n, x.sender.AnswerInterrupted(x.connection, x.job, x.endpoint, err.Error())
}

// Close leaves the rest unread.
func (r *Rest) Close() {
	_ = r.body.Close()
	r.timer.Stop()
	r.exchange.close()
}
