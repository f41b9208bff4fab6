package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// releaseTimeout bounds the giving up of memory at an engine; what is not released lapses by itself.
	releaseTimeout = time.Second
	// holdReserve is the part of a hold's lifetime that must be left when it is used.
	holdMargin = 100 * time.Millisecond
	// usualLead is the time from a place to the first event before any was measured.
	defaultFirstEventDelay = 250 * time.Millisecond
	// leadWeight is the part that the newest lead has in the moving average.
	firstEventDelayWeight = 0.1
	// maxPlaces is how many places one request may take: where prompts cannot be read, others wait in vain meanwhile.
	maxPlacements = 3
	// waitShare is the part of the time left that a request may wait for a place.
	placementWaitShare = 0.35
)

// source is the KV cache of a prompt at the engine that read it.
type kvSource struct {
	engine *enlister.Endpoint
	handle string
}

// generate serves a generation: a place at a decode engine first, so that no prompt is read for nothing.
func (x *Router) generate(ctx context.Context, w http.ResponseWriter, j *job) {
	x.Sender.CountRequest(j.Service)
	l := x.newRelay(w, j)
	failed := &sender.SendError{Outcome: sender.NotSent, Reason: "no engine has room"}
	for range maxPlacements {
		p, err := x.Places.Place(ctx, l.placementRequest())
		var refused *dispatcher.RefusedError
		if errors.As(err, &refused) {
			l.respond(ctx, result{status: http.StatusServiceUnavailable, reason: refused.Reason, retryAfter: refused.Wait})
			return
		}
		if err != nil {
			break
		}
		j.Trace.Set("prompt", j.request.Prompt.Tokens)
		j.Trace.Set("hint", j.request.Prompt.Hint)
		j.Trace.Set("placed_ms", x.Clock.Now().Sub(j.started).Milliseconds())
		settled, err := x.generateAt(ctx, l, p)
		if settled {
			return
		}
		var again bool
		if failed, again = l.mayRetry(ctx, err); !again {
			break
		}
	}
	l.respondFailed(ctx, failed)
}

// ask describes what is left of a stream to the dispatcher.
func (l *relay) placementRequest() dispatcher.Request {
	x, j := l.router, l.j
	now := x.Clock.Now()
	a := dispatcher.Request{
		Service: j.Service, ID: j.ID, Prompt: j.request.Prompt.Tokens, Hint: j.request.Prompt.Hint,
		MaxOutput: j.request.Prompt.MaxOutput, Priority: j.route.Priority, MaxPause: j.route.MaxPause, Arrived: j.started,
		Fingerprint:        j.Fingerprint,
		FirstEventDeadline: j.started.Add(j.route.TargetLatency), Latest: now.Add(time.Duration(placementWaitShare * float64(j.Left(now)))),
	}
	waited := j.started
	if l.count > 0 {
		waited = l.lastAt
		l.adjustForResume(&a)
	}
	if patience := waited.Add(j.route.EventTimeout - x.firstEventDelay(j.Service)); j.route.EventTimeout > 0 && patience.Before(a.Latest) {
		a.Latest = patience
	}
	return a
}

// askForRest changes an Ask for a stream that goes on: its output so far is read again, and the next event is due as
// after any other.
func (l *relay) adjustForResume(a *dispatcher.Request) {
	made := l.count * l.j.service.Engine.Stride
	a.Prompt += made
	a.MaxOutput = max(a.MaxOutput-made, 1)
	if a.Hint > 0 {
		a.Hint = max(a.Hint-made, 1)
	}
	if a.MaxPause > 0 {
		a.FirstEventDeadline = l.lastAt.Add(a.MaxPause)
	}
}

// lead returns the usual time from a place to the first event.
func (x *Router) firstEventDelay(service string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.firstEventDelays[service] == 0 {
		x.firstEventDelays[service] = defaultFirstEventDelay
	}
	return x.firstEventDelays[service]
}

func (x *Router) recordFirstEventDelay(service string, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.firstEventDelays[service] += time.Duration(firstEventDelayWeight * float64(took-x.firstEventDelays[service]))
}

// generateAt has the prompt read and the answer generated at a place.
func (x *Router) generateAt(ctx context.Context, l *relay, p dispatcher.Place) (settled bool, err error) {
	j := l.j
	before := l.count
	defer func() { x.reportEnd(l, settled, l.count-before) }()
	l.reportProgress(x.Clock.Now(), p)
	tried := make(map[string]bool)
	src, err := x.prefill(ctx, j, p, tried)
	if err != nil {
		x.release(j, src, p)
		return false, err
	}
	settled, err = l.run(ctx, p.Engine, x.newSend(src, p))
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome == sender.NotRun && src != nil && ctx.Err() == nil {
		settled, err = x.retryPrefill(ctx, l, p, src, tried)
	}
	if !errors.As(err, &failed) || ctx.Err() != nil {
		return settled, err
	}
	if failed.IsRefused() {
		x.report(j, dispatcher.Progress{Step: dispatcher.HoldRefused, Engine: p.Engine.ID})
	} else {
		x.report(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: p.Engine.ID})
	}
	if failed.Outcome != sender.Unknown {
		x.release(j, src, p)
	}
	return settled, err
}

// generateAgain has the prompt read by another engine after the KV cache of src could not be had, and goes to the same
// decode engine once more.
func (x *Router) retryPrefill(ctx context.Context, l *relay, p dispatcher.Place, src *kvSource, tried map[string]bool) (bool, error) {
	j := l.j
	refused := &sender.SendError{Endpoint: p.Engine.ID, Outcome: sender.NotRun, Reason: "the KV cache of " + src.engine.ID + " is not to be had"}
	j.Trace.Step("KV cache of %s not to be had", src.engine.ID)
	x.report(j, dispatcher.Progress{Step: dispatcher.CacheLost, Engine: src.engine.ID})
	tried[src.engine.ID] = true
	p.PrefillEngine = x.pickPrefillEngine(j, tried)
	if p.PrefillEngine == nil || !x.Sender.MayResend(j.Service) { // the send to the decode engine; readPrompt counts its own
		return false, refused
	}
	next, err := x.prefill(ctx, j, p, tried)
	if err != nil {
		return false, refused
	}
	return l.run(ctx, p.Engine, x.newSend(next, p))
}

// sendFrom returns the send to a place with the KV cache of src, if there is one.
func (x *Router) newSend(src *kvSource, p dispatcher.Place) sender.Send {
	var s sender.Send
	if x.Clock.Now().Before(prefillDeadline(p)) {
		s.Hold = p.Hold
	}
	if src != nil {
		s.PrefillSource, s.CacheHandle = src.engine.Address, src.handle
	}
	return s
}

// follow has the home told of how the stream goes on.
func (l *relay) reportProgress(placed time.Time, p dispatcher.Place) {
	x, j := l.router, l.j
	l.onFirstEvent = func() {
		x.recordFirstEventDelay(j.Service, x.Clock.Now().Sub(placed))
		x.report(j, dispatcher.Progress{Step: dispatcher.OutputStarted, Engine: p.Engine.ID})
	}
	l.onPace = func(took time.Duration) {
		x.report(j, dispatcher.Progress{Step: dispatcher.OutputPaced, Output: paceEvents * j.service.Engine.Stride, Took: took})
	}
}

// tellEnd tells the home that a place is free.
func (x *Router) reportEnd(l *relay, settled bool, events int) {
	if settled && events > 0 {
		x.report(l.j, dispatcher.Progress{Step: dispatcher.OutputEnded, Output: events * l.j.service.Engine.Stride})
		return
	}
	x.report(l.j, dispatcher.Progress{Step: dispatcher.Failed})
}

// tell tells the home of the job's service how far the job is.
func (x *Router) report(j *job, p dispatcher.Progress) {
	p.Service, p.ID = j.Service, j.ID
	go x.Places.ReportProgress(p)
}

// release gives up a prompt's KV cache and a hold that nobody will use.
func (x *Router) release(j *job, src *kvSource, p dispatcher.Place) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if src != nil {
			if err := x.Engines.Free(ctx, src.engine.Address, src.handle); err != nil {
				eventer.Warn(x.Logs, eventer.ReleaseFailed, "request", j.ID, "endpoint", src.engine.ID, "handle", src.handle, "error", err.Error())
			}
		}
		if err := x.Engines.Drop(ctx, p.Engine.Address, p.Hold); err != nil {
			eventer.Warn(x.Logs, eventer.ReleaseFailed, "request", j.ID, "endpoint", p.Engine.ID, "hold", p.Hold, "error", err.Error())
		}
	}()
}

// notRead reports a prompt that was not read. Of the sends that ask for reading only the first accepted one is free.
func (x *Router) reportPrefillFailure(j *job, e *enlister.Endpoint, err error) {
	var failed *sender.SendError
	if !errors.As(err, &failed) || !failed.IsRefused() {
		x.report(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: e.ID})
		return
	}
	x.report(j, dispatcher.Progress{Step: dispatcher.PromptRefused, Engine: e.ID})
	if j.prefillSends == 1 && failed.Outcome == sender.NotRun {
		x.Sender.ChargeResend(j.Service)
	}
}

// readBy is when the prompt must have been read for the hold of a place to be of use.
func prefillDeadline(p dispatcher.Place) time.Time { return p.Until.Add(-holdMargin) }

// readPrompt has the prompt read at the place's reading engine, or at another one if that fails and the budget allows.
// Without a reading engine there is no source, and the decode engine reads the prompt itself. It is not asked to do so
// after a failure: that would hold up every generation there.
func (x *Router) prefill(ctx context.Context, j *job, p dispatcher.Place, tried map[string]bool) (*kvSource, error) {
	if p.PrefillEngine == nil {
		j.Trace.Step("no prefill engine")
		return nil, nil
	}
	if j.prefillSends > 0 && !x.Sender.MayResend(j.Service) {
		return nil, &sender.SendError{Endpoint: p.Engine.ID, Outcome: sender.NotSent, Reason: "no budget to have the prompt read again"}
	}
	for e := p.PrefillEngine; ; {
		tried[e.ID] = true
		src, err := x.prefillAt(ctx, j, p, e)
		if err == nil {
			return src, nil
		}
		j.Trace.Step("prefill failed at %s: %s", e.ID, err)
		x.reportPrefillFailure(j, e, err)
		e = x.pickPrefillEngine(j, tried)
		if e == nil || ctx.Err() != nil || !x.Clock.Now().Before(prefillDeadline(p)) || !x.Sender.MayResend(j.Service) {
			return nil, &sender.SendError{Endpoint: p.Engine.ID, Outcome: sender.NotSent, Reason: "the prompt was not read: " + err.Error()}
		}
	}
}

// otherReader returns a reading engine that was not tried yet, nil if there is none.
func (x *Router) pickPrefillEngine(j *job, tried map[string]bool) *enlister.Endpoint {
	var readers []*enlister.Endpoint
	for _, e := range x.Sender.Endpoints.Service(j.Service) {
		if e.Stage == enroller.Prefill && !e.IsEjected(x.Clock.Now()) {
			readers = append(readers, e)
		}
	}
	return x.Sender.Pick(readers, tried)
}

// readAt has the prompt read at one engine.
func (x *Router) prefillAt(ctx context.Context, j *job, p dispatcher.Place, e *enlister.Endpoint) (*kvSource, error) {
	j.prefillSends++
	ctx, cancel := context.WithDeadline(ctx, prefillDeadline(p))
	defer cancel()
	begun := x.Clock.Now()
	reply, err := x.Sender.Exchange(ctx, &j.Job, e, sender.Send{Prefill: true})
	if err != nil {
		return nil, err
	}
	if reply.Status != http.StatusOK {
		return nil, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: fmt.Sprintf("answered %d", reply.Status)}
	}
	x.report(j, dispatcher.Progress{Step: dispatcher.PromptRead, Engine: e.ID})
	handle, err := x.Dialect.Handle(reply.Body)
	if err != nil {
		return nil, x.Sender.InvalidAnswer(&j.Job, e, err.Error())
	}
	j.Trace.Step("prefill at %s in %d ms", e.ID, x.Clock.Now().Sub(begun).Milliseconds())
	return &kvSource{engine: e, handle: handle}, nil
}
