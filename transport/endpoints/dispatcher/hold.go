package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/estimator"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

// holdTimeout bounds a call for a hold; engines answer it without work.
const holdTimeout = 200 * time.Millisecond

// want is a hold to be taken.
type want struct {
	tokens   int
	lifetime time.Duration
	// proof is the memory that must be free at that moment, 0 if the home knows enough to do without the question. It is
	// not kept: what is reserved and unused has the generations of others preempted.
	proof int
}

// want returns the hold to take for a request. The caller holds mu.
func (k *desk) want(now time.Time, t *ticket, engine matcher.Engine) want {
	w := want{tokens: k.placer.Hold(t.request), lifetime: engine.MaxHold}
	if t.alone || now.Sub(k.since) < placer.WarmUp {
		w.proof = estimator.Need(estimator.Demand{
			Prompt: t.request.Prompt, Hint: t.request.Hint, MaxOutput: t.request.MaxOutput,
		})
	}
	return w
}

// hold takes a hold at an engine.
func (k *desk) hold(e *enlister.Endpoint, w want) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	engines := k.dispatcher.Engines
	if w.proof > w.tokens {
		proof, err := engines.Hold(ctx, e.Address, w.proof, w.lifetime)
		if err != nil {
			return "", err
		}
		if err := engines.Drop(ctx, e.Address, proof); err != nil {
			return "", err
		}
	}
	return engines.Hold(ctx, e.Address, w.tokens, w.lifetime)
}

// take gets the hold for a placed request; without one the request waits on.
func (k *desk) take(t *ticket, p placer.Place, w want) {
	d := k.dispatcher
	begun := d.Clock.Now()
	e := k.find(p.Engine)
	hold, err := "", error(&GoneError{Engine: p.Engine})
	if e != nil {
		hold, err = k.hold(e, w)
	}
	now := d.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	t.taking = false
	if err != nil {
		var full *FullError
		var paused *enlister.PausedError
		k.placer.NotHeld(now, p, errors.As(err, &full))
		if full == nil && !errors.As(err, &paused) && e != nil {
			eventer.Warn(d.Logs, eventer.SendFailed, "request", p.ID, "endpoint", e.ID, "service", k.service,
				"stage", e.Stage.String(), "outcome", "no hold", "reason", err.Error())
			e.UpdateHealth(func(h *ejector.Health) { h.Refused(now) })
		}
		k.nudge()
		return
	}
	if t.done {
		k.placer.Failed(now, p.ID)
		go k.release(e, hold)
		return
	}
	k.placer.Held(now)
	t.answer <- wire.PlacementResponse{
		State: statePlaced, Engine: p.Engine, Reader: p.Reader, Hold: hold, Until: int(begun.Add(w.lifetime).Sub(now).Milliseconds()),
	}
}

func (k *desk) release(e *enlister.Endpoint, hold string) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := k.dispatcher.Engines.Drop(ctx, e.Address, hold); err != nil {
		eventer.Warn(k.dispatcher.Logs, eventer.ReleaseFailed, "endpoint", e.ID, "hold", hold, "error", err.Error())
	}
}
