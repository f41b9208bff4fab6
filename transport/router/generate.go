package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/estimator"
	"github.com/hornbeamspan/hornbeamspan/transport/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// releaseTimeout bounds the giving up of memory at an engine; what is not released lapses by itself.
	releaseTimeout = time.Second
	// holdReserve is the part of a hold's lifetime that must be left when it is used.
	holdReserve = 100 * time.Millisecond
)

// source is the KV cache of a prompt at the engine that read it.
type source struct {
	engine *enlister.Endpoint
	handle string
}

// generate serves a generation: a hold at a decode engine first, so that no prompt is read for nothing.
func (x *Router) generate(ctx context.Context, w http.ResponseWriter, j *job) {
	x.countRequest(j.service.Name)
	l := x.newRelay(w, j)
	failed := &SendError{Outcome: NotSent, Reason: "no engine has room"}
	for ctx.Err() == nil {
		p, refusal := x.room(j).wait(ctx, j, x.need(j))
		if refusal != nil {
			if l.committed {
				l.abort(*refusal)
			}
			x.finish(w, j, *refusal)
			return
		}
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

func (x *Router) need(j *job) int {
	p := j.request.Prompt
	return estimator.Need(estimator.Demand{Prompt: p.Tokens, Hint: p.Hint, MaxOutput: p.MaxOutput})
}

// generateAt has the prompt read and the answer generated at the place that was held.
func (x *Router) generateAt(ctx context.Context, l *relay, p place) (bool, error) {
	defer p.leave()
	src, err := x.prefill(ctx, l.j, p)
	if ctx.Err() != nil {
		x.release(src, p)
		return false, &SendError{Endpoint: p.engine.ID, Outcome: NotSent, Reason: "given up while the prompt was read"}
	}
	s := Send{Hold: p.hold}
	if x.Clock.Now().After(p.until.Add(-holdReserve)) {
		s.Hold = ""
	}
	if err == nil && src != nil {
		s.Source, s.Handle = src.engine.Address, src.handle
	}
	settled, err := l.run(ctx, p.engine, s)
	var failed *SendError
	if errors.As(err, &failed) && failed.Outcome != Unknown {
		x.release(src, p)
	}
	return settled, err
}

// release gives up a prompt's KV cache and a hold that nobody will use.
func (x *Router) release(src *source, p place) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if src != nil {
			if err := x.Engines.Free(ctx, src.engine.Address, src.handle); err != nil {
				eventer.Warn(x.Logs, eventer.ReleaseFailed, "endpoint", src.engine.ID, "handle", src.handle, "error", err.Error())
			}
		}
		if err := x.Engines.Drop(ctx, p.engine.Address, p.hold); err != nil {
			eventer.Warn(x.Logs, eventer.ReleaseFailed, "endpoint", p.engine.ID, "hold", p.hold, "error", err.Error())
		}
	}()
}

// prefill has the prompt read at a prefill engine. Without a source the decode engine reads the prompt itself.
func (x *Router) prefill(ctx context.Context, j *job, p place) (*source, error) {
	e := x.pickPrefill(j, p)
	if e == nil {
		j.trace.step("no prefill engine")
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, p.until.Add(-holdReserve))
	defer cancel()
	begun := x.Clock.Now()
	resp, body, err := x.exchange(ctx, j, e, Send{Prefill: true})
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &SendError{Endpoint: e.ID, Outcome: Unknown, Reason: resp.Status}
	}
	if err != nil {
		j.trace.step("prefill failed at %s", e.ID)
		return nil, err
	}
	handle, err := x.Dialect.Handle(body)
	if err != nil {
		e.Judge(func(h *ejector.Health) { h.Failed(x.Clock.Now()) })
		x.logSend(j, e, "unknown", err.Error())
		return nil, err
	}
	j.trace.step("prefill at %s in %d ms", e.ID, x.Clock.Now().Sub(begun).Milliseconds())
	return &source{engine: e, handle: handle}, nil
}

// pickPrefill prefers an idle prefill engine in the decode engine's data centre.
func (x *Router) pickPrefill(j *job, p place) *enlister.Endpoint {
	now := x.Clock.Now()
	var best *enlister.Endpoint
	lowest := 0.0
	random := x.random()
	for _, e := range x.Endpoints.Service(j.service.Name) {
		if e.Stage != enroller.Prefill || e.IsEjected(now) {
			continue
		}
		cost := e.Cost(usualLatency) * (0.8 + 0.4*random.Float64())
		if e.DataCentre != p.engine.DataCentre {
			cost *= farPenalty
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}
