package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/transport/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// releaseTimeout bounds the giving up of memory at an engine; what is not released lapses by itself.
	releaseTimeout = time.Second
	// holdReserve is the part of a hold's lifetime that must be left when it is used.
	holdReserve = 100 * time.Millisecond
	// usualLead is the time from a place to the first event before any was measured.
	usualLead = 250 * time.Millisecond
	// leadWeight is the part that the newest lead has in the moving average.
	leadWeight = 0.1
	// waitShare is the part of the time left that a request may wait for a place.
	waitShare = 0.35
)

// source is the KV cache of a prompt at the engine that read it.
type source struct {
	engine *enlister.Endpoint
	handle string
}

// generate serves a generation: a place at a decode engine first, so that no prompt is read for nothing.
func (x *Router) generate(ctx context.Context, w http.ResponseWriter, j *job) {
	x.countRequest(j.service.Name)
	l := x.newRelay(w, j)
	failed := &SendError{Outcome: NotSent, Reason: "no engine has room"}
	for ctx.Err() == nil {
		p, err := x.Places.Place(ctx, x.ask(j))
		var refused *dispatcher.RefusedError
		if errors.As(err, &refused) {
			l.refuse(*refused)
			return
		}
		if err != nil {
			break
		}
		j.trace.set("prompt", j.request.Prompt.Tokens)
		j.trace.set("hint", j.request.Prompt.Hint)
		j.trace.set("placed_ms", x.Clock.Now().Sub(j.started).Milliseconds())
		settled, err := x.generateAt(ctx, l, p)
		if settled {
			return
		}
		errors.As(err, &failed)
		if failed.Outcome == NotSent {
			continue
		}
		j.sends++
		if !l.mayGoOn(ctx, failed) {
			break
		}
	}
	l.end(ctx, failed)
}

// ask describes a job to the dispatcher.
func (x *Router) ask(j *job) dispatcher.Ask {
	now := x.Clock.Now()
	p := j.request.Prompt
	lead := x.lead(j.service.Name)
	latest := now.Add(time.Duration(waitShare * float64(j.left(now))))
	if patience := j.started.Add(j.route.Patience - lead); j.route.Patience > 0 && patience.Before(latest) {
		latest = patience
	}
	return dispatcher.Ask{
		Service: j.service.Name, ID: j.request.ID, Prompt: p.Tokens, Hint: p.Hint, MaxOutput: p.MaxOutput,
		Priority: j.route.Priority, MaxPause: j.route.MaxPause, Arrived: j.started, OnTime: j.started.Add(j.route.Target - lead), Latest: latest,
	}
}

// lead returns the usual time from a place to the first event.
func (x *Router) lead(service string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leads[service] == 0 {
		x.leads[service] = usualLead
	}
	return x.leads[service]
}

func (x *Router) learnLead(service string, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leads[service] += time.Duration(leadWeight * float64(took-x.leads[service]))
}

// refuse gives a stream up before it has run.
func (l *relay) refuse(r dispatcher.RefusedError) {
	e := ending{status: http.StatusServiceUnavailable, reason: r.Reason, wait: r.Wait}
	if l.committed {
		l.abort(e)
	}
	l.router.finish(l.w, l.j, e)
}

// generateAt has the prompt read and the answer generated at a place.
func (x *Router) generateAt(ctx context.Context, l *relay, p dispatcher.Place) (bool, error) {
	j := l.j
	placed := x.Clock.Now()
	src := x.prefill(ctx, j, p)
	if ctx.Err() != nil {
		x.release(j, src, p)
		return false, &SendError{Endpoint: p.Engine.ID, Outcome: NotSent, Reason: "given up while the prompt was read"}
	}
	s := Send{Hold: p.Hold}
	if x.Clock.Now().After(p.Until.Add(-holdReserve)) {
		s.Hold = ""
	}
	if src != nil {
		s.Source, s.Handle = src.engine.Address, src.handle
	}
	before := l.count
	l.began = func() {
		x.learnLead(j.service.Name, x.Clock.Now().Sub(placed))
		x.tell(j, dispatcher.Progress{Step: dispatcher.Began})
	}
	l.paced = func(took time.Duration) {
		x.tell(j, dispatcher.Progress{Step: dispatcher.Paced, Output: paceEvents * j.service.Engine.Stride, Took: took})
	}
	told := false
	defer func() {
		if !told {
			x.tell(j, dispatcher.Progress{Step: dispatcher.Failed})
		}
	}()
	settled, err := l.run(ctx, p.Engine, s)
	var failed *SendError
	if errors.As(err, &failed) && failed.Outcome == NotRun && src != nil {
		x.tell(j, dispatcher.Progress{Step: dispatcher.Lost, Engine: src.engine.ID})
		if ctx.Err() == nil && x.mayResend(j.service.Name) {
			j.trace.step("KV cache of %s not to be had", src.engine.ID)
			settled, err = l.run(ctx, p.Engine, Send{Hold: s.Hold})
		}
	}
	if errors.As(err, &failed) && failed.Outcome != Unknown {
		x.release(j, src, p)
		if failed.Outcome == NotRun {
			x.tell(j, dispatcher.Progress{Step: dispatcher.Refused, Engine: p.Engine.ID})
		}
	}
	if failed != nil && failed.Outcome != NotRun && ctx.Err() == nil {
		x.tell(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: p.Engine.ID})
	}
	if settled && l.count > before {
		told = true
		output := (l.count - before) * j.service.Engine.Stride
		x.tell(j, dispatcher.Progress{Step: dispatcher.Ended, Output: output})
	}
	return settled, err
}

// tell tells the home of the job's service how far the job is.
func (x *Router) tell(j *job, p dispatcher.Progress) {
	p.Service, p.ID = j.service.Name, j.request.ID
	go x.Places.Tell(p)
}

// release gives up a prompt's KV cache and a hold that nobody will use.
func (x *Router) release(j *job, src *source, p dispatcher.Place) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if src != nil {
			if err := x.Engines.Free(ctx, src.engine.Address, src.handle); err != nil {
				eventer.Warn(x.Logs, eventer.ReleaseFailed, "request", j.request.ID, "endpoint", src.engine.ID, "handle", src.handle, "error", err.Error())
			}
		}
		if err := x.Engines.Drop(ctx, p.Engine.Address, p.Hold); err != nil {
			eventer.Warn(x.Logs, eventer.ReleaseFailed, "request", j.request.ID, "endpoint", p.Engine.ID, "hold", p.Hold, "error", err.Error())
		}
	}()
}

// notRead reports a prompt that was not read. Of the sends that ask for reading only the first accepted one is free.
func (x *Router) notRead(j *job, e *enlister.Endpoint, err error) {
	var failed *SendError
	if !errors.As(err, &failed) || failed.Outcome != NotRun {
		x.tell(j, dispatcher.Progress{Step: dispatcher.Unreachable, Engine: e.ID})
		return
	}
	x.tell(j, dispatcher.Progress{Step: dispatcher.Unread, Engine: e.ID})
	if j.reads == 1 {
		x.chargeResend(j.service.Name)
	}
}

// prefill has the prompt read at a prefill engine. Without a source the decode engine reads the prompt itself.
func (x *Router) prefill(ctx context.Context, j *job, p dispatcher.Place) *source {
	e := p.Reader
	if e == nil {
		j.trace.step("no prefill engine")
		return nil
	}
	if j.reads++; j.reads > 1 && !x.mayResend(j.service.Name) {
		j.trace.step("no budget to read the prompt again")
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, p.Until.Add(-holdReserve))
	defer cancel()
	begun := x.Clock.Now()
	resp, body, err := x.exchange(ctx, j, e, Send{Prefill: true})
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &SendError{Endpoint: e.ID, Outcome: Unknown, Reason: resp.Status}
	}
	if err != nil {
		j.trace.step("prefill failed at %s: %s", e.ID, err)
		x.notRead(j, e, err)
		return nil
	}
	x.tell(j, dispatcher.Progress{Step: dispatcher.Read})
	handle, err := x.Dialect.Handle(body)
	if err != nil {
		e.Judge(func(h *ejector.Health) { h.Failed(x.Clock.Now()) })
		x.logSend(j, e, "unknown", err.Error())
		return nil
	}
	j.trace.step("prefill at %s in %d ms", e.ID, x.Clock.Now().Sub(begun).Milliseconds())
	return &source{engine: e, handle: handle}
}
