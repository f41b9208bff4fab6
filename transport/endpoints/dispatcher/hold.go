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
type holdSpec struct {
	tokens   int
	lifetime time.Duration
	// proof is the memory that must be free at that moment, 0 if the home knows enough to do without the question. It is
	// not kept: what is reserved and unused has the generations of others preempted.
	probeTokens int
}

// want returns the hold to take for a request. The caller holds mu.
func (k *scheduler) holdFor(now time.Time, t *pendingRequest, engine matcher.Engine) holdSpec {
	w := holdSpec{tokens: k.placer.HoldTokens(t.request), lifetime: engine.MaxHold}
	if t.isUncoordinated || now.Sub(k.activeSince) < placer.WarmUp {
		w.probeTokens = estimator.ReservedTokens(estimator.Demand{
			Prompt: t.request.Prompt, Hint: t.request.Hint, MaxOutput: t.request.MaxOutput,
		})
	}
	return w
}

// hold takes a hold at an engine.
func (k *scheduler) takeHold(e *enlister.Endpoint, w holdSpec) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	engines := k.dispatcher.Engines
	if w.probeTokens > w.tokens {
		proof, err := engines.Hold(ctx, e.Address, w.probeTokens, w.lifetime)
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
func (k *scheduler) reserve(t *pendingRequest, p placer.Placement, w holdSpec) {
	d := k.dispatcher
	begun := d.Clock.Now()
	e := k.find(p.DecodeEngine)
	hold, err := "", error(&UnlistedError{Engine: p.DecodeEngine})
	if e != nil {
		hold, err = k.takeHold(e, w)
	}
	now := d.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	t.isReserving = false
	if err != nil {
		var full *FullError
		var paused *enlister.PausedError
		k.placer.RecordHoldFailure(now, p, errors.As(err, &full))
		if full == nil && !errors.As(err, &paused) && e != nil {
			eventer.Warn(d.Logs, eventer.SendFailed, "request", p.ID, "endpoint", e.ID, "service", k.service,
				"stage", e.Stage.String(), "outcome", "no hold", "reason", err.Error())
			e.UpdateHealth(func(h *ejector.Health) { h.Refused(now) })
		}
		k.signal()
		return
	}
	if t.isRemoved {
		k.placer.RecordFailure(now, p.ID)
		go k.releaseHold(e, hold)
		return
	}
	k.placer.RecordHold(now)
	t.answer <- wire.PlaceAnswer{
		State: statePlaced, Engine: p.DecodeEngine, Reader: p.PrefillEngine, Hold: hold, Until: int(begun.Add(w.lifetime).Sub(now).Milliseconds()),
	}
}

func (k *scheduler) releaseHold(e *enlister.Endpoint, hold string) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := k.dispatcher.Engines.Drop(ctx, e.Address, hold); err != nil {
		eventer.Warn(k.dispatcher.Logs, eventer.ReleaseFailed, "endpoint", e.ID, "hold", hold, "error", err.Error())
	}
}
