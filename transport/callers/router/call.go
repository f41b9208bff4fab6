package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// minRetryAfter is the shortest Retry-After that callers get when no endpoint accepted a call.
const minRetryAfter = 50 * time.Millisecond

// call forwards a request whose answer is not a stream.
func (rt *Router) call(ctx context.Context, w http.ResponseWriter, j *job) {
	rt.Sender.CountRequest(j.Service)
	send := rt.Sender.Lookup
	if j.route.Kind == matcher.Once {
		send = rt.Sender.AtMostOnce
	}
	j.MayPassOn = true
	reply, err := send(ctx, &j.Job)
	if err != nil {
		res := resultWithoutReply(ctx, err)
		var failed *sender.SendError
		if errors.As(err, &failed) && failed.IsUnread && j.Left(rt.Clock.Now()) <= 0 {
			res.status = http.StatusGatewayTimeout
		}
		rt.respond(w, j, res)
		return
	}
	rt.writeReply(w, j, reply)
}

// resultWithoutReply is the result of a request that no endpoint answered.
func resultWithoutReply(ctx context.Context, err error) result {
	var failed *sender.SendError
	if !errors.As(err, &failed) {
		return unknownOutcome(ctx, err.Error())
	}
	if failed.Outcome == sender.Unknown {
		return unknownOutcome(ctx, failed.Reason)
	}
	return notRunResult(failed)
}

// notRunResult is the result of a request that has not run.
func notRunResult(failed *sender.SendError) result {
	if failed.Denial != nil {
		return denialResult(failed.Denial)
	}
	wait := max(minRetryAfter, failed.RetryAfter)
	if failed.IsConvicted {
		wait = convictedRetryAfter
	}
	return result{status: http.StatusServiceUnavailable, reason: failed.Reason, retryAfter: wait}
}

// unknownOutcome is the result of a request that may have run.
func unknownOutcome(ctx context.Context, reason string) result {
	if isAborted(ctx) {
		return result{status: http.StatusGatewayTimeout, reason: "the host was shut down before an endpoint answered"}
	}
	if ctx.Err() != nil {
		return result{status: http.StatusGatewayTimeout, reason: "no endpoint answered before the deadline"}
	}
	return result{status: http.StatusBadGateway, reason: reason}
}

// passOnBytes of an answer are held while it is passed on.
const passOnBytes = 8 << 10

// writeReply forwards an endpoint's answer to the caller. If the answer has a rest and that cannot be forwarded completely, it breaks
// the connection and does not return.
func (rt *Router) writeReply(w http.ResponseWriter, j *job, r *sender.Reply) {
	j.Trace.Set("endpoint", r.Endpoint.ID)
	j.Trace.Set("answer", r.Status)
	sender.CopyHeader(w.Header(), r.Header)
	if r.Rest != nil {
		rt.passOn(w, j, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if err != nil {
		rt.logEnd(j, result{reason: "caller disconnected: " + err.Error()})
		return
	}
	rt.logEnd(j, result{})
}

// passOn forwards an answer while it is read.
func (rt *Router) passOn(w http.ResponseWriter, j *job, r *sender.Reply) {
	defer r.Rest.Close()
	if r.Rest.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Rest.Length, 10))
		j.endsByClose = false
	}
	w.WriteHeader(r.Status)
	rl := rt.newRelay(w, j)
	rl.committed = true
	passed, err := w.Write(r.Body)
	r.Body = nil
	rt.Sender.Release(&j.Job)
	chunk := make([]byte, passOnBytes)
	for err == nil {
		n, readErr := r.Rest.Read(chunk)
		if n > 0 {
			n, err = w.Write(chunk[:n])
			passed += n
		}
		j.Trace.Set("passed_on", passed)
		switch {
		case err != nil:
		case errors.Is(readErr, io.EOF):
			rt.logEnd(j, result{})
			return
		case readErr != nil:
			rl.abort(result{reason: "answer interrupted: " + readErr.Error()})
		}
	}
	rl.abort(result{reason: "caller disconnected: " + err.Error()})
}
