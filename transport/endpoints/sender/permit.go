package sender

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

// Permits limits the requests of all hosts to endpoints with rate limits.
type Permits interface {
	// Acquire obtains a permit for a request to one of the candidates, the preferred one first, and blocks until the request
	// may be sent, for maxWait at most. The error is a *LimitError or that of ctx.
	Acquire(ctx context.Context, service string, candidates []*discoverer.Endpoint, maxWait time.Duration) (*discoverer.Endpoint, error)
}

// LimitError reports that no rate limit permits a request in time.
type LimitError struct {
	Service string
	// RetryAfter is the time until the next request is permitted.
	RetryAfter time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("sender: unable to send a request to %s: its endpoints have reached their rate limits; retry after %s", e.Service, e.RetryAfter)
}

// Choose returns the endpoint for the next send of a job, nil if there is none. isPermitted tells that the send has a permit.
// It waits for a permit only if there is no sound endpoint without a rate limit; failed tells when the limits permit a request.
func (s *Sender) Choose(ctx context.Context, j *Job, tried map[string]bool) (e *discoverer.Endpoint, isPermitted bool, failed *SendError) {
	list := s.Endpoints.Service(j.Service)
	if j.Accepts != nil {
		list = slices.DeleteFunc(slices.Clone(list), func(e *discoverer.Endpoint) bool { return !j.Accepts(e) })
	}
	e = s.Pick(list, tried)
	if e == nil || s.Permits == nil || !e.Limit().IsSet {
		return e, false, nil
	}
	now := s.Clock.Now()
	candidates, maxWait := []*discoverer.Endpoint{e}, time.Duration(0)
	unlimited := slices.DeleteFunc(slices.Clone(list), func(e *discoverer.Endpoint) bool { return e.Limit().IsSet })
	other := s.Pick(unlimited, tried)
	if other == nil || other.IsEjected(now) {
		candidates = s.preferring(e, list, tried)
		maxWait = max(0, j.LatestStart.Sub(now))
	}
	e, err := s.Permits.Acquire(ctx, j.Service, candidates, maxWait)
	if err == nil {
		return e, true, nil
	}
	if other != nil {
		return other, false, nil
	}
	return nil, false, s.limitError(j, err)
}

// preferring returns the endpoints that may be used, with first at the head.
func (s *Sender) preferring(first *discoverer.Endpoint, list []*discoverer.Endpoint, tried map[string]bool) []*discoverer.Endpoint {
	now := s.Clock.Now()
	usable := []*discoverer.Endpoint{first}
	for _, e := range list {
		if e != first && !tried[e.ID] && !e.IsPaused(now) && !e.IsEjected(now) {
			usable = append(usable, e)
		}
	}
	return usable
}

// permit obtains a permit for a send to an endpoint with a rate limit, unless it has one.
func (s *Sender) permit(ctx context.Context, j *Job, e *discoverer.Endpoint, o Send) error {
	switch {
	case o.IsPermitted:
		return nil
	case s.Permits == nil || !e.Limit().IsSet:
		e.CountUnpermitted(s.Clock.Now())
		return nil
	}
	_, err := s.Permits.Acquire(ctx, j.Service, []*discoverer.Endpoint{e}, max(0, j.LatestStart.Sub(s.Clock.Now())))
	if err == nil {
		return nil
	}
	failed := s.limitError(j, err)
	failed.Endpoint = e.ID
	return failed
}

// limitError returns the error of a send that got no permit.
func (s *Sender) limitError(j *Job, err error) *SendError {
	failed := &SendError{Outcome: NotSent, Reason: "rate limits of the endpoints permit no request in time"}
	var limited *LimitError
	if errors.As(err, &limited) {
		failed.RetryAfter = limited.RetryAfter
	} else {
		failed.Reason = err.Error()
	}
	j.Trace.Step("no permit: %s", failed.Reason)
	return failed
}
