package dispatcher

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/stageswitcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// balanceInterval is the interval of the check whether engines should change their stage.
const balanceInterval = 500 * time.Millisecond

// balance orders engines to the other stage if that raises the throughput.
func (s *scheduler) balance() {
	d := s.dispatcher
	if !d.isOwner(s.service) {
		return
	}
	moves := s.chooseMoves()
	target := stageFor(moves.IsPrefill)
	load := moves.Load
	for _, id := range moves.Engines {
		eventlogger.Info(d.Logs, eventlogger.StageSplitChosen, "service", s.service, "endpoint", id, "stage", target.String(),
			"readers", load.PrefillEngines, "generators", load.DecodeEngines, "read_ms", load.PrefillTime.Milliseconds(),
			"run_ms", load.RunTime.Milliseconds(), "fit", load.RunsPerEngine, "read", load.PrefillSamples, "ended", load.RunSamples)
		if e := s.find(id); e != nil {
			go s.orderStage(e, target)
		}
	}
}

func (s *scheduler) chooseMoves() placer.Moves {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	if _, ok := s.updateEngines(now); !ok || now.Sub(s.activeSince) < placer.WarmUp {
		return placer.Moves{}
	}
	return s.placer.Balance(now, stageswitcher.MaxOrderDelay)
}

// stageFor maps the flag of an order on the wire to a stage.
func stageFor(isPrefill bool) enroller.Stage {
	if isPrefill {
		return enroller.Prefill
	}
	return enroller.Decode
}
