package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

const (
	// releaseTimeout bounds the release of memory at an engine; what is not released expires there.
	releaseTimeout = time.Second
	// holdMargin is the part of a hold's lifetime that must be left when the hold is used.
	holdMargin = 100 * time.Millisecond
	// defaultFirstEventDelay is the assumed time from placement to first event until one was measured.
	defaultFirstEventDelay = 250 * time.Millisecond
	// firstEventDelayWeight is the weight of the newest sample in the moving average.
	firstEventDelayWeight = 0.1
	// announcedRetryAfter bounds the Retry-After of a new stream that was announced at a software version without room.
	announcedRetryAfter = time.Second
	// maxPlacements bounds the placements of one request: while prefill fails, each one only delays other requests.
	maxPlacements = 3
	// placementWaitShare is the share of the remaining time that a request may wait for a placement.
	placementWaitShare = 0.35
	// resumptionWaitShare is the same for a stream that is resumed: its caller has a part of the answer, and less is left to write.
	resumptionWaitShare = 0.7
)

// kvSource is the KV cache of a prompt at its prefill engine.
type kvSource struct {
	engine *discoverer.Endpoint
	handle string
}

// generate forwards a generation. It reserves a decode engine first, so that no prefill is wasted.
func (rt *Router) generate(ctx context.Context, w http.ResponseWriter, j *job) {
	rt.Sender.CountRequest(j.Service)
	rl := rt.newRelay(w, j)
	rl.isPlaced = true
	failed := &sender.SendError{Outcome: sender.NotSent, Reason: "no engine has room"}
	for range maxPlacements {
		p, err := rt.place(ctx, rl)
		var convicted *isolator.ConvictedError
		if errors.As(err, &convicted) {
			failed = sender.NewConvictedError("")
			break
		}
		var refused *dispatcher.RefusedError
		if errors.As(err, &refused) {
			rl.respond(ctx, result{status: http.StatusServiceUnavailable, reason: refused.Reason, retryAfter: rl.retryAfter(refused)})
			return
		}
		if err != nil {
			if rt.stop.isRefusing() {
				rl.respond(ctx, *shutdownResult())
				return
			}
			break
		}
		j.Trace.Set("prompt", j.request.Prompt.Tokens)
		j.Trace.Set("hint", j.request.Prompt.Hint)
		j.Trace.Set("placed_ms", rt.Clock.Now().Sub(j.started).Milliseconds())
		isFinal, err := rt.generateAt(ctx, rl, p)
		if isFinal {
			return
		}
		var again bool
		if failed, again = rl.mayRetry(ctx, err); !again {
			break
		}
	}
	rl.respondFailed(ctx, failed)
}

// retryAfter returns the Retry-After of a refused placement. A new stream that was only announced may begin anywhere if it comes back.
func (rl *relay) retryAfter(refused *dispatcher.RefusedError) time.Duration {
	if rl.version != "" && !rl.committed && !rl.j.request.IsResumption() {
		return min(refused.RetryAfter, announcedRetryAfter)
	}
	return refused.RetryAfter
}

// place waits for a placement. The error is an *isolator.ConvictedError if the request is convicted meanwhile.
func (rt *Router) place(ctx context.Context, rl *relay) (dispatcher.Placement, error) {
	ctx, cancel := rt.stop.startable(ctx)
	defer cancel()
	guarded, release := rt.Sender.Isolator.Guard(ctx, rl.j.Work())
	defer release()
	p, err := rt.Dispatcher.Place(guarded, rl.placementRequest())
	var convicted *isolator.ConvictedError
	if err != nil && errors.As(context.Cause(guarded), &convicted) {
		return p, convicted
	}
	return p, err
}

// placementRequest describes the remaining work of a stream to the dispatcher.
func (rl *relay) placementRequest() dispatcher.Request {
	rt, j := rl.router, rl.j
	now := rt.Clock.Now()
	share := placementWaitShare
	if rl.count > 0 || j.request.IsResumption() {
		share = resumptionWaitShare
	}
	req := dispatcher.Request{
		Service: j.Service, ID: j.ID, Prompt: j.request.Prompt.Tokens, Hint: j.request.Prompt.Hint,
		MaxOutput: j.request.Prompt.MaxOutput, Priority: j.priority(), MaxPause: j.route.MaxPause, Arrived: j.started,
		Fingerprint: j.Fingerprint, Version: rl.version, Parts: j.request.Prompt.sharedParts(),
		FirstEventDeadline: j.started.Add(j.route.TargetLatency), LatestStart: now.Add(time.Duration(share * float64(j.Left(now)))),
	}
	waitingSince := j.started
	if rl.count > 0 {
		waitingSince = rl.lastAt
		rl.adjustForResume(&req)
	}
	if latest := waitingSince.Add(j.route.EventTimeout - rt.firstEventDelay(j.Service)); j.route.EventTimeout > 0 && latest.Before(req.LatestStart) {
		req.LatestStart = latest
	}
	return req
}

// adjustForResume adapts a placement request for a stream that is resumed: its output so far becomes part of the prompt,
// and the next event is due as after any other.
func (rl *relay) adjustForResume(req *dispatcher.Request) {
	generated := rl.count * rl.j.service.Engine.Stride
	req.Prompt += generated
	req.MaxOutput = max(req.MaxOutput-generated, 1)
	if req.Hint > 0 {
		req.Hint = max(req.Hint-generated, 1)
	}
	if req.MaxPause > 0 {
		req.FirstEventDeadline = rl.lastAt.Add(req.MaxPause)
	}
}

// firstEventDelay returns the moving average of the time from placement to first event.
func (rt *Router) firstEventDelay(service string) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.firstEventDelays[service] == 0 {
		rt.firstEventDelays[service] = defaultFirstEventDelay
	}
	return rt.firstEventDelays[service]
}

func (rt *Router) recordFirstEventDelay(service string, took time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.firstEventDelays[service] += time.Duration(firstEventDelayWeight * float64(took-rt.firstEventDelays[service]))
}

// generateAt runs prefill and decode for one placement.
func (rt *Router) generateAt(ctx context.Context, rl *relay, p dispatcher.Placement) (isFinal bool, err error) {
	j := rl.j
	before := rl.count
	defer func() { rt.reportEnd(rl, isFinal, rl.count-before) }()
	rl.reportProgress(rt.Clock.Now(), p)
	rl.announceOrigin(p.DecodeEngine)
	tried := make(map[string]bool)
	src, err := rt.prefill(ctx, j, p, tried)
	if err != nil {
		rt.release(j, src, p)
		return false, err
	}
	isFinal, err = rl.run(ctx, p.DecodeEngine, rt.newSend(src, p))
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome == sender.NotRun && src != nil && ctx.Err() == nil {
		isFinal, err = rt.retryPrefill(ctx, rl, p, src, tried)
	}
	if !errors.As(err, &failed) || ctx.Err() != nil {
		return isFinal, err
	}
	switch {
	case failed.IsFinal(): // says nothing about the engine
	case failed.IsRefused():
		rt.report(j, dispatcher.Progress{Step: dispatcher.HoldRefused, Engine: p.DecodeEngine.ID})
	default:
		rt.report(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: p.DecodeEngine.ID})
	}
	if failed.Outcome != sender.Unknown {
		rt.release(j, src, p)
	}
	return isFinal, err
}

// retryPrefill runs prefill at another engine after the KV cache of src was not available, then sends the request to the
// same decode engine again.
func (rt *Router) retryPrefill(ctx context.Context, rl *relay, p dispatcher.Placement, src *kvSource, tried map[string]bool) (bool, error) {
	j := rl.j
	refused := &sender.SendError{Endpoint: p.DecodeEngine.ID, Outcome: sender.NotRun, Reason: "KV cache of " + src.engine.ID + " not available"}
	j.Trace.Step("KV cache of %s not available", src.engine.ID)
	rt.report(j, dispatcher.Progress{Step: dispatcher.CacheLost, Engine: src.engine.ID})
	tried[src.engine.ID] = true
	p.PrefillEngine = rt.pickPrefillEngine(j, tried)
	if p.PrefillEngine == nil || !rt.Sender.MayResend(j.Service) { // for the send to the decode engine; prefill counts its own
		return false, refused
	}
	p.IsDecodePermitted, p.IsPrefillPermitted = false, false
	next, err := rt.prefill(ctx, j, p, tried)
	if err != nil {
		return false, refused
	}
	return rl.run(ctx, p.DecodeEngine, rt.newSend(next, p))
}

// newSend returns the send to the decode engine of p, with the KV cache of src unless src is nil.
func (rt *Router) newSend(src *kvSource, p dispatcher.Placement) sender.Send {
	s := sender.Send{IsPermitted: p.IsDecodePermitted}
	if rt.Clock.Now().Before(prefillDeadline(p)) {
		s.Hold = p.Hold
	}
	if src != nil {
		s.PrefillSource, s.CacheHandle = src.engine.Address, src.handle
	}
	return s
}

// reportProgress sets the hooks that report the progress of the stream.
func (rl *relay) reportProgress(placedAt time.Time, p dispatcher.Placement) {
	rt, j := rl.router, rl.j
	rl.onFirstEvent = func() {
		rt.recordFirstEventDelay(j.Service, rt.Clock.Now().Sub(placedAt))
		rt.report(j, dispatcher.Progress{Step: dispatcher.OutputStarted, Engine: p.DecodeEngine.ID})
	}
	rl.onPace = func(took time.Duration) {
		rt.report(j, dispatcher.Progress{Step: dispatcher.OutputPaced, Output: paceEvents * j.service.Engine.Stride, Took: took})
	}
}

// reportEnd reports that a placement has ended, so that its capacity is freed.
func (rt *Router) reportEnd(rl *relay, isFinal bool, events int) {
	if isFinal && events > 0 {
		rt.report(rl.j, dispatcher.Progress{Step: dispatcher.OutputEnded, Output: events * rl.j.service.Engine.Stride})
		return
	}
	rt.report(rl.j, dispatcher.Progress{Step: dispatcher.Failed})
}

// report sends the progress of a job to the host that owns the scheduling of its service.
func (rt *Router) report(j *job, p dispatcher.Progress) {
	p.Service, p.ID = j.Service, j.ID
	go rt.Dispatcher.ReportProgress(p)
}

// release frees a prompt's KV cache and a hold that will not be used.
func (rt *Router) release(j *job, src *kvSource, p dispatcher.Placement) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if src != nil {
			if err := rt.Engines.Free(ctx, src.engine.Address, src.handle); err != nil {
				eventlogger.Warn(rt.Logs, eventlogger.ReleaseFailed, "request", j.ID, "endpoint", src.engine.ID, "handle", src.handle, "error", err.Error())
			}
		}
		if err := rt.Engines.Drop(ctx, p.DecodeEngine.Address, p.Hold); err != nil {
			eventlogger.Warn(rt.Logs, eventlogger.ReleaseFailed, "request", j.ID, "endpoint", p.DecodeEngine.ID, "hold", p.Hold, "error", err.Error())
		}
	}()
}

// reportPrefillFailure reports a failed prefill. Of the prefill sends only the first accepted one is not charged to the
// retry budget.
func (rt *Router) reportPrefillFailure(j *job, e *discoverer.Endpoint, err error) {
	var failed *sender.SendError
	if !errors.As(err, &failed) || !failed.IsRefused() {
		rt.report(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: e.ID})
		return
	}
	rt.report(j, dispatcher.Progress{Step: dispatcher.PromptRefused, Engine: e.ID})
	if j.prefillSends == 1 && failed.Outcome == sender.NotRun {
		rt.Sender.ChargeResend(j.Service)
	}
}

// prefillDeadline is when prefill must be done so that the hold of the placement can still be used.
func prefillDeadline(p dispatcher.Placement) time.Time { return p.Until.Add(-holdMargin) }

// prefill runs prefill at the engine of the placement, or at another one if that fails and the retry budget allows.
// Without a prefill engine it returns nil, and the decode engine prefills the prompt itself. The decode engine is not used
// for prefill after a failure: that would delay every generation there.
func (rt *Router) prefill(ctx context.Context, j *job, p dispatcher.Placement, tried map[string]bool) (*kvSource, error) {
	if p.PrefillEngine == nil {
		j.Trace.Step("no prefill engine")
		return nil, nil
	}
	if j.prefillSends > 0 && !rt.Sender.MayResend(j.Service) {
		return nil, &sender.SendError{Endpoint: p.DecodeEngine.ID, Outcome: sender.NotSent, Reason: "retry budget exhausted, prefill not repeated"}
	}
	for e := p.PrefillEngine; ; {
		tried[e.ID] = true
		src, err := rt.prefillAt(ctx, j, p, e)
		p.IsPrefillPermitted = false
		if err == nil {
			return src, nil
		}
		var failed *sender.SendError
		if errors.As(err, &failed) && failed.IsFinal() {
			return nil, failed
		}
		j.Trace.Step("prefill failed at %s: %s", e.ID, err)
		rt.reportPrefillFailure(j, e, err)
		e = rt.pickPrefillEngine(j, tried)
		if e == nil || ctx.Err() != nil || !rt.Clock.Now().Before(prefillDeadline(p)) || !rt.Sender.MayResend(j.Service) {
			return nil, &sender.SendError{Endpoint: p.DecodeEngine.ID, Outcome: sender.NotSent, Reason: "prefill failed: " + err.Error()}
		}
	}
}

// pickPrefillEngine returns a prefill engine that was not tried yet, nil if there is none.
func (rt *Router) pickPrefillEngine(j *job, tried map[string]bool) *discoverer.Endpoint {
	var engines []*discoverer.Endpoint
	for _, e := range rt.Sender.Endpoints.Service(j.Service) {
		if e.Stage == enroller.Prefill && !e.IsEjected(rt.Clock.Now()) {
			engines = append(engines, e)
		}
	}
	return rt.Sender.Pick(engines, tried)
}

// prefillAt runs prefill at one engine.
func (rt *Router) prefillAt(ctx context.Context, j *job, p dispatcher.Placement, e *discoverer.Endpoint) (*kvSource, error) {
	j.prefillSends++
	ctx, cancel := context.WithDeadline(ctx, prefillDeadline(p))
	defer cancel()
	begun := rt.Clock.Now()
	reply, err := rt.Sender.Exchange(ctx, &j.Job, e, sender.Send{Prefill: true, IsPermitted: p.IsPrefillPermitted})
	if err != nil {
		return nil, err
	}
	if reply.Status != http.StatusOK {
		return nil, &sender.SendError{Endpoint: e.ID, Outcome: sender.Unknown, Reason: fmt.Sprintf("prefill answered status %d, expected 200", reply.Status)}
	}
	rt.report(j, dispatcher.Progress{Step: dispatcher.PromptRead, Engine: e.ID})
	handle, err := rt.Dialect.Handle(reply.Body)
	if err != nil {
		return nil, rt.Sender.InvalidAnswer(&j.Job, e, err.Error())
	}
	j.Trace.Step("prefill at %s in %d ms", e.ID, rt.Clock.Now().Sub(begun).Milliseconds())
	return &kvSource{engine: e, handle: handle}, nil
}
