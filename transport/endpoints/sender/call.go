package sender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

const (
	// defaultLatency is assumed for an endpoint without a measured latency.
	defaultLatency = 20 * time.Millisecond
	// otherDataCentreFactor raises the cost of an endpoint in another data centre, because traffic between data centres is
	// expensive.
	otherDataCentreFactor = 1.5
	// firstSendShare is the share of the remaining time for a send of a lookup that another send may follow.
	firstSendShare = 0.5
)

// Reply is the answer of an endpoint. It is complete unless it has a Rest.
type Reply struct {
	Endpoint *discoverer.Endpoint
	Status   int
	Header   http.Header
	Body     []byte
	// Rest is what follows Body and was not read for lack of room; nil in jobs without MayPassOn. It must be closed.
	Rest *Rest
}

// discard closes what is unread of a reply that its caller does not get.
func (r *Reply) discard() {
	if r != nil && r.Rest != nil {
		r.Rest.Close()
	}
}

// Pick returns the endpoint with the lowest cost that was not tried yet and is not paused, or nil. Ejected endpoints are used
// only if there are no others.
func (s *Sender) Pick(candidates []*discoverer.Endpoint, tried map[string]bool) *discoverer.Endpoint {
	now := s.Clock.Now()
	var untried []*discoverer.Endpoint
	for _, e := range candidates {
		if !tried[e.ID] && !e.IsPaused(now) {
			untried = append(untried, e)
		}
	}
	var usable []*discoverer.Endpoint
	for _, e := range untried {
		if !e.IsEjected(now) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = untried
	}
	var best *discoverer.Endpoint
	lowest := 0.0
	random := s.NewRand()
	for _, e := range usable {
		cost := e.Cost(defaultLatency) * (0.8 + 0.4*random.Float64())
		if e.DataCentre != s.DataCentre {
			cost *= otherDataCentreFactor
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// AtMostOnce sends a request that may run at most once. It is sent to another endpoint only if it is certain that it has not
// run. The error is a *SendError.
func (s *Sender) AtMostOnce(ctx context.Context, j *Job) (*Reply, error) {
	tried := make(map[string]bool)
	last := s.NoEndpointError(j.Service)
	for ctx.Err() == nil {
		e, isPermitted, refused := s.Choose(ctx, j, tried)
		if e == nil {
			if refused != nil {
				last = refused
			}
			break
		}
		tried[e.ID] = true
		reply, err := s.sendOnceTo(ctx, j, e, Send{IsPermitted: isPermitted})
		if err == nil {
			j.Sends.Add(1)
			s.Isolator.RecordCompletion(j.Fingerprint)
			return reply, nil
		}
		if !errors.As(err, &last) || last.Outcome == Unknown || last.IsFinal() {
			return nil, err
		}
		if last.Outcome == NotRun && (int(j.Sends.Add(1)) >= j.MaxAttempts || !s.MayResend(j.Service)) {
			break
		}
	}
	return nil, last
}

// sendOnceTo sends a request to one endpoint. It ignores the cancellation of ctx, which would leave the outcome unknown, but not that
// of the job.
func (s *Sender) sendOnceTo(ctx context.Context, j *Job, e *discoverer.Endpoint, o Send) (*Reply, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.Expires)
	defer cancel()
	if j.Abort != nil {
		defer context.AfterFunc(j.Abort, cancel)()
	}
	return s.Exchange(ctx, j, e, o)
}

// lookup is the state of a request that may run more than once, at several endpoints.
type lookup struct {
	sender  *Sender
	job     *Job
	tried   map[string]bool
	results chan lookupResult
	pending int
	// lastReply is the last answer. An answer with a failure status is returned only if no other arrives.
	lastReply *Reply
	failure   *SendError
}

// lookupResult is the result of one send of a lookup.
type lookupResult struct {
	endpoint *discoverer.Endpoint
	reply    *Reply
	err      error
}

// Lookup sends a request that may run more than once. It is sent to another endpoint if one fails, or has not answered
// within the job's hedge. If all fail, Lookup returns the last answer received. The error is a *SendError.
func (s *Sender) Lookup(ctx context.Context, j *Job) (*Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &lookup{
		sender: s, job: j, tried: make(map[string]bool), results: make(chan lookupResult, max(1, j.MaxAttempts)),
		failure: s.NoEndpointError(j.Service),
	}
	l.start(ctx)
	hedge := l.hedge()
	for l.pending > 0 && !l.isAnswered() {
		select {
		case <-hedge:
			hedge = nil
			if !j.isUnread.Load() {
				l.start(ctx)
			}
		case result := <-l.results:
			if l.handle(result) && ctx.Err() == nil {
				l.start(ctx)
			}
		}
	}
	l.discardPending()
	if l.lastReply == nil {
		return nil, l.failure
	}
	s.Isolator.RecordCompletion(j.Fingerprint)
	return l.lastReply, nil
}

// discardPending discards the replies of sends that have not ended yet.
func (l *lookup) discardPending() {
	if l.pending == 0 {
		return
	}
	go func() {
		for range l.pending {
			(<-l.results).reply.discard()
		}
	}()
}

func (l *lookup) hedge() <-chan time.Time {
	if l.job.Hedge <= 0 {
		return nil
	}
	return l.sender.Clock.After(l.job.Hedge)
}

// start sends the request to one more endpoint, unless the attempts or the budget are exhausted.
func (l *lookup) start(ctx context.Context) {
	j, s := l.job, l.sender
	sends := int(j.Sends.Load()) + l.pending
	if sends >= j.MaxAttempts {
		return
	}
	if s.Pick(s.Endpoints.Service(j.Service), l.tried) == nil || (sends > 0 && !s.MayResend(j.Service)) {
		return
	}
	e, isPermitted, refused := s.Choose(ctx, j, l.tried)
	if e == nil {
		if refused != nil && l.failure.Outcome != Unknown {
			l.failure = refused
		}
		return
	}
	l.tried[e.ID] = true
	l.pending++
	mayFollow := sends+1 < j.MaxAttempts
	go func() {
		reply, err := s.sendLookupTo(ctx, j, e, mayFollow, Send{IsPermitted: isPermitted})
		l.results <- lookupResult{endpoint: e, reply: reply, err: err}
	}()
}

// sendLookupTo sends a request to one endpoint. If another send may follow, it gets a share of the remaining time.
func (s *Sender) sendLookupTo(ctx context.Context, j *Job, e *discoverer.Endpoint, mayFollow bool, o Send) (*Reply, error) {
	if mayFollow {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(firstSendShare*float64(j.Left(s.Clock.Now()))))
		defer cancel()
	}
	return s.Exchange(ctx, j, e, o)
}

// isAnswered reports whether the last answer is final.
func (l *lookup) isAnswered() bool { return l.lastReply != nil && !isFailure(l.lastReply.Status) }

// handle records the result of one send, and reports whether the request may be sent to another endpoint.
func (l *lookup) handle(result lookupResult) bool {
	l.pending--
	var failed *SendError
	if errors.As(result.err, &failed) {
		if l.failure.Outcome != Unknown { // an unknown outcome stays unknown after later failures
			l.failure = failed
		}
		if failed.Outcome != NotSent {
			l.job.Sends.Add(1)
		}
		return !failed.IsFinal()
	}
	l.job.Sends.Add(1)
	l.lastReply.discard()
	l.lastReply = result.reply
	if l.isAnswered() {
		return false
	}
	l.job.Trace.Step("%s answered %d", result.endpoint.ID, result.reply.Status)
	return true
}

// isFailure reports whether another endpoint may succeed after this status.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
