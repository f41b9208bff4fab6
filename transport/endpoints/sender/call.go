package sender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
)

const (
	// usualLatency stands for the latency of an endpoint that has answered nothing yet.
	usualLatency = 20 * time.Millisecond
	// farPenalty is how much more an endpoint of another data centre costs: bytes between data centres are dear.
	farPenalty = 1.5
	// firstShare is the part of the time left that a send of a lookup gets if another may follow.
	firstShare = 0.5
)

// Reply is the whole answer of an endpoint.
type Reply struct {
	Endpoint *enlister.Endpoint
	Status   int
	Header   http.Header
	Body     []byte
}

// Pick returns the endpoint with the least cost that was not tried yet and has not asked for a pause, nil if there is none.
func (x *Sender) Pick(candidates []*enlister.Endpoint, tried map[string]bool) *enlister.Endpoint {
	now := x.Clock.Now()
	var fresh []*enlister.Endpoint
	for _, e := range candidates {
		if !tried[e.ID] && !e.IsPaused(now) {
			fresh = append(fresh, e)
		}
	}
	var usable []*enlister.Endpoint
	for _, e := range fresh {
		if !e.IsEjected(now) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = fresh
	}
	var best *enlister.Endpoint
	lowest := 0.0
	random := x.Draw()
	for _, e := range usable {
		cost := e.Cost(usualLatency) * (0.8 + 0.4*random.Float64())
		if e.DataCentre != x.DataCentre {
			cost *= farPenalty
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// Once sends a request that may run at most once. It goes to another endpoint only after a proof that it has not run. The
// error is a *SendError.
func (x *Sender) Once(ctx context.Context, j *Job) (*Reply, error) {
	tried := make(map[string]bool)
	last := x.NoEndpoint(j.Service)
	for ctx.Err() == nil {
		e := x.Pick(x.Endpoints.Service(j.Service), tried)
		if e == nil {
			break
		}
		tried[e.ID] = true
		reply, err := x.onceAt(ctx, j, e)
		if err == nil {
			j.Sends.Add(1)
			x.Isolator.RecordCompletion(j.Fingerprint)
			return reply, nil
		}
		if !errors.As(err, &last) || last.Outcome == Unknown {
			return nil, err
		}
		if last.Outcome == NotRun && (int(j.Sends.Add(1)) >= j.MaxAttempts || !x.MayResend(j.Service)) {
			break
		}
	}
	return nil, last
}

// onceAt sends a request to one endpoint. It goes on without its caller: to cut it off would leave its outcome unknown.
func (x *Sender) onceAt(ctx context.Context, j *Job, e *enlister.Endpoint) (*Reply, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.Expires)
	defer cancel()
	return x.Exchange(ctx, j, e, Send{})
}

// lookup is a request that may run more than once, on its way to several endpoints.
type lookup struct {
	sender *Sender
	job    *Job
	tried  map[string]bool
	ended  chan lookedUp
	open   int
	// kept is the last answer. One that tells of a failure stands only for want of a better one.
	kept *Reply
	last *SendError
}

// lookedUp is the end of one send of a lookup.
type lookedUp struct {
	endpoint *enlister.Endpoint
	reply    *Reply
	err      error
}

// Lookup sends a request that may run more than once: to another endpoint if one fails, or is slower than the job's hedge.
// If all fail it returns the answer of the last one that gave any. The error is a *SendError.
func (x *Sender) Lookup(ctx context.Context, j *Job) (*Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &lookup{
		sender: x, job: j, tried: make(map[string]bool), ended: make(chan lookedUp, max(1, j.MaxAttempts)),
		last: x.NoEndpoint(j.Service),
	}
	l.start(ctx)
	hedge := l.hedge()
	for l.open > 0 && !l.isAnswered() {
		select {
		case <-hedge:
			hedge = nil
			l.start(ctx)
		case end := <-l.ended:
			if l.take(end) && ctx.Err() == nil {
				l.start(ctx)
			}
		}
	}
	if l.kept == nil {
		return nil, l.last
	}
	x.Isolator.RecordCompletion(j.Fingerprint)
	return l.kept, nil
}

func (l *lookup) hedge() <-chan time.Time {
	if l.job.Hedge <= 0 {
		return nil
	}
	return l.sender.Clock.After(l.job.Hedge)
}

// start sends the request to one more endpoint, within the attempts and the budget.
func (l *lookup) start(ctx context.Context) {
	j, x := l.job, l.sender
	sends := int(j.Sends.Load()) + l.open
	if sends >= j.MaxAttempts {
		return
	}
	e := x.Pick(x.Endpoints.Service(j.Service), l.tried)
	if e == nil || (sends > 0 && !x.MayResend(j.Service)) {
		return
	}
	l.tried[e.ID] = true
	l.open++
	mayFollow := sends+1 < j.MaxAttempts
	go func() {
		reply, err := x.lookupAt(ctx, j, e, mayFollow)
		l.ended <- lookedUp{endpoint: e, reply: reply, err: err}
	}()
}

// lookupAt sends a request to one endpoint, with a part of its time if another may follow.
func (x *Sender) lookupAt(ctx context.Context, j *Job, e *enlister.Endpoint, mayFollow bool) (*Reply, error) {
	if mayFollow {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(firstShare*float64(j.Left(x.Clock.Now()))))
		defer cancel()
	}
	return x.Exchange(ctx, j, e, Send{})
}

// isAnswered tells whether no further answer is wanted.
func (l *lookup) isAnswered() bool { return l.kept != nil && !isFailure(l.kept.Status) }

// take takes one send's end in and tells whether another endpoint may do better.
func (l *lookup) take(end lookedUp) bool {
	l.open--
	var failed *SendError
	if errors.As(end.err, &failed) {
		if l.last.Outcome != Unknown { // which no later failure takes back
			l.last = failed
		}
		if failed.Outcome != NotSent {
			l.job.Sends.Add(1)
		}
		return true
	}
	l.job.Sends.Add(1)
	l.kept = end.reply
	if l.isAnswered() {
		return false
	}
	l.job.Trace.Step("%s answered %d", end.endpoint.ID, end.reply.Status)
	return true
}

// isFailure tells whether another endpoint may answer better.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
