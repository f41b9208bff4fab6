package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// retryPause is what callers are told to wait when no endpoint could take a call.
const minRetryAfter = 50 * time.Millisecond

// call serves a plain request.
func (x *Router) call(ctx context.Context, w http.ResponseWriter, j *job) {
	x.Sender.CountRequest(j.Service)
	send := x.Sender.Lookup
	if j.route.Kind == matcher.Once {
		send = x.Sender.AtMostOnce
	}
	reply, err := send(ctx, &j.Job)
	if err != nil {
		x.respond(w, j, resultWithoutReply(ctx, err))
		return
	}
	x.writeReply(w, j, reply)
}

// notAnswered is the ending of a request without an answer of an endpoint.
func resultWithoutReply(ctx context.Context, err error) result {
	var failed *sender.SendError
	if !errors.As(err, &failed) {
		return unknownOutcome(ctx, err.Error())
	}
	if failed.Outcome == sender.Unknown {
		return unknownOutcome(ctx, failed.Reason)
	}
	return result{status: http.StatusServiceUnavailable, reason: failed.Reason, retryAfter: max(minRetryAfter, failed.Wait)}
}

// unknown is the ending of a request that may have run.
func unknownOutcome(ctx context.Context, reason string) result {
	if ctx.Err() != nil {
		return result{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return result{status: http.StatusBadGateway, reason: reason}
}

// pass answers with an endpoint's whole answer.
func (x *Router) writeReply(w http.ResponseWriter, j *job, r *sender.Reply) {
	j.Trace.Set("endpoint", r.Endpoint.ID)
	j.Trace.Set("answer", r.Status)
	sender.CopyHeader(w.Header(), r.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if err != nil {
		x.logEnd(j, result{reason: "the caller is gone: " + err.Error()})
		return
	}
	x.logEnd(j, result{})
}
