package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/drainer"
)

// drainRetryAfter is the Retry-After of a host that shuts down; it is short because callers retry at another host.
const drainRetryAfter = 100 * time.Millisecond

// ShutdownError is the cause of contexts that a shutdown of the host has ended.
type ShutdownError struct{}

func (e *ShutdownError) Error() string {
	return "router: unable to finish the request: the host is shutting down"
}

// stop is the state of a shutdown of the host.
type stop struct {
	schedule atomic.Pointer[drainer.Schedule]
	// refusing is done once no request is taken any more, aborting once those in flight are ended.
	refusing context.Context
	aborting context.Context
	refuse   context.CancelFunc
	abort    context.CancelFunc
	// aborted counts the requests that were ended by the shutdown.
	aborted atomic.Int64
}

func newStop() *stop {
	s := &stop{}
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.aborting, s.abort = context.WithCancel(context.Background())
	return s
}

func (s *stop) isUnderWay() bool { return s.schedule.Load() != nil }

func (s *stop) isRefusing() bool { return s.refusing.Err() != nil }

// refusal returns the answer to a request that is not taken at now, nil if it is.
func (s *stop) refusal(j *job, now time.Time) *result {
	schedule := s.schedule.Load()
	if schedule == nil {
		return nil
	}
	j.Trace.Set("stop_ms", schedule.Left(now).Milliseconds())
	if s.isRefusing() || !schedule.Takes(now, j.Expires) {
		return shutdownResult()
	}
	return nil
}

func shutdownResult() *result {
	return &result{status: http.StatusServiceUnavailable, reason: "host is shutting down", retryAfter: drainRetryAfter}
}

// bound returns a context that ends when the request expires or the shutdown ends it.
func (s *stop) bound(ctx context.Context, expires time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := endWith(ctx, s.aborting, func() { s.aborted.Add(1) })
	ctx, cancelDeadline := context.WithDeadline(ctx, expires)
	return ctx, func() {
		cancel()
		cancelDeadline()
	}
}

// startable returns a context in which a request may wait to be sent: it ends once no request is taken any more.
func (s *stop) startable(ctx context.Context) (context.Context, context.CancelFunc) {
	return endWith(ctx, s.refusing, func() {})
}

// endWith returns a context that a step of the shutdown ends, too, after a call of onEnd.
func endWith(ctx, step context.Context, onEnd func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(step, func() {
		onEnd()
		cancel(&ShutdownError{})
	})
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// isAborted reports whether a shutdown has ended ctx.
func isAborted(ctx context.Context) bool {
	var shutdown *ShutdownError
	return ctx.Err() != nil && errors.As(context.Cause(ctx), &shutdown)
}

// hasCallerLeft reports whether the caller has ended ctx by closing its connection.
func hasCallerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isAborted(ctx)
}

// Drain begins a shutdown. From now on, every answer closes its connection, and only requests that end in time are taken.
func (rt *Router) Drain(s drainer.Schedule) { rt.stop.schedule.Store(&s) }

// IsDraining reports whether a shutdown has begun.
func (rt *Router) IsDraining() bool { return rt.stop.isUnderWay() }

// Refuse refuses all further requests, and those that still wait for their body or for a placement.
func (rt *Router) Refuse() { rt.stop.refuse() }

// Abort ends the requests in flight. Their callers get an answer unless they have a part of one already.
func (rt *Router) Abort() { rt.stop.abort() }

// Aborted returns the number of requests that Abort has ended.
func (rt *Router) Aborted() int64 { return rt.stop.aborted.Load() }
