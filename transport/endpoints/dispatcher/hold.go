package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// holdTimeout bounds the calls that take or drop a hold; engines answer them without computation.
const holdTimeout = 200 * time.Millisecond

// reserve takes a hold of some tokens for a placed request with its permits. If that fails, the request stays pending.
func (s *scheduler) reserve(pr *pendingRequest, p placer.Placement, tokens int, lifetime time.Duration, permits []*discoverer.Endpoint) {
	d := s.dispatcher
	start := d.Clock.Now()
	e := s.find(p.DecodeEngine)
	hold, err := "", error(&UnlistedError{Engine: p.DecodeEngine})
	if e != nil && e.Version == p.Version {
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		hold, err = d.Engines.Hold(ctx, e.Address, tokens, lifetime)
		cancel()
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
		State: statePlaced, Engine: p.DecodeEngine, Version: p.Version, PrefillEngine: p.PrefillEngine, Hold: hold, Until: int(start.Add(lifetime).Sub(now).Milliseconds()),
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
