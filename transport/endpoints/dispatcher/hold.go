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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// holdTimeout bounds the calls that take or drop a hold; engines answer them without computation.
const holdTimeout = 200 * time.Millisecond

// holdSpec describes a hold to be taken. Numbers are of tokens.
type holdSpec struct {
	tokens   int
	lifetime time.Duration
	// probeTokens is the memory that must be free at the time of the reservation; 0 if the scheduler's own count of the
	// engine's memory is reliable. The probe is released at once, because reserved but unused memory causes the engine to
	// preempt other generations.
	probeTokens int
}

// holdFor returns the hold to take for a request. The caller holds mu.
func (s *scheduler) holdFor(now time.Time, pr *pendingRequest, engine matcher.Engine) holdSpec {
	spec := holdSpec{tokens: s.placer.HoldTokens(pr.request), lifetime: engine.MaxHold}
	if pr.isUncoordinated || now.Sub(s.activeSince) < placer.WarmUp {
		spec.probeTokens = estimator.ReservedTokens(estimator.Demand{
			Prompt: pr.request.Prompt, Hint: pr.request.Hint, MaxOutput: pr.request.MaxOutput,
		})
	}
	return spec
}

// takeHold takes a hold at an engine, after a probe of its free memory if the spec requires one.
func (s *scheduler) takeHold(e *discoverer.Endpoint, spec holdSpec) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	engines := s.dispatcher.Engines
	if spec.probeTokens > spec.tokens {
		probe, err := engines.Hold(ctx, e.Address, spec.probeTokens, spec.lifetime)
		if err != nil {
			return "", err
		}
		if err := engines.Drop(ctx, e.Address, probe); err != nil {
			return "", err
		}
	}
	return engines.Hold(ctx, e.Address, spec.tokens, spec.lifetime)
}

// reserve takes the hold for a placed request with its permits. If that fails, the request stays pending.
func (s *scheduler) reserve(pr *pendingRequest, p placer.Placement, spec holdSpec, permits []*discoverer.Endpoint) {
	d := s.dispatcher
	start := d.Clock.Now()
	e := s.find(p.DecodeEngine)
	hold, err := "", error(&UnlistedError{Engine: p.DecodeEngine})
	if e != nil {
		hold, err = s.takeHold(e, spec)
	}
	now := d.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	pr.isReserving = false
	if err != nil || pr.isRemoved {
		s.giveBack(permits)
	}
	if err != nil {
		var full *FullError
		var paused *discoverer.PausedError
		s.placer.RecordHoldFailure(now, p, errors.As(err, &full))
		if full == nil && !errors.As(err, &paused) && e != nil {
			eventlogger.Warn(d.Logs, eventlogger.SendFailed, "request", p.ID, "endpoint", e.ID, "service", s.service,
				"stage", e.Stage.String(), "outcome", "no hold", "reason", err.Error())
			e.UpdateHealth(func(h *ejector.Health) { h.RecordConnectFailure(now) })
		}
		s.signal()
		return
	}
	if pr.isRemoved {
		s.placer.RecordFailure(now, p.ID)
		go s.releaseHold(e, hold)
		return
	}
	s.placer.RecordHold(now)
	var permitted []string
	for _, e := range permits {
		permitted = append(permitted, e.ID)
	}
	pr.answer <- wire.PlacementResponse{
		State: statePlaced, Engine: p.DecodeEngine, PrefillEngine: p.PrefillEngine, Hold: hold, Until: int(start.Add(spec.lifetime).Sub(now).Milliseconds()),
		Permits: permitted,
	}
}

func (s *scheduler) releaseHold(e *discoverer.Endpoint, hold string) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	if err := s.dispatcher.Engines.Drop(ctx, e.Address, hold); err != nil {
		eventlogger.Warn(s.dispatcher.Logs, eventlogger.ReleaseFailed, "endpoint", e.ID, "hold", hold, "error", err.Error())
	}
}
