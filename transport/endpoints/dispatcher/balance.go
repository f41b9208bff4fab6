package dispatcher

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/conductor"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

// balancePeriod is the time between two looks at the split of engines.
const balancePeriod = 500 * time.Millisecond

// balance moves engines to the other stage if that serves more.
func (k *scheduler) balance() {
	d := k.dispatcher
	if !d.isOwner(k.service) {
		return
	}
	moves := k.chooseMoves()
	target := stageFor(moves.IsPrefill)
	load := moves.Load
	for _, id := range moves.Engines {
		eventer.Info(d.Logs, eventer.SplitChosen, "service", k.service, "endpoint", id, "stage", target.String(),
			"readers", load.PrefillEngines, "generators", load.DecodeEngines, "read_ms", load.PrefillTime.Milliseconds(),
			"run_ms", load.RunTime.Milliseconds(), "fit", load.RunsPerEngine, "read", load.PrefillSamples, "ended", load.RunSamples)
		if e := k.find(id); e != nil {
			go k.orderStage(e, target)
		}
	}
}

func (k *scheduler) chooseMoves() placer.Moves {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	if _, ok := k.updateEngines(now); !ok || now.Sub(k.activeSince) < placer.WarmUp {
		return placer.Moves{}
	}
	return k.placer.Balance(now, conductor.MaxOrderDelay)
}

// stageFor returns the stage that reads prompts, or the one that generates.
func stageFor(reads bool) enroller.Stage {
	if reads {
		return enroller.Prefill
	}
	return enroller.Decode
}
