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
func (k *desk) balance() {
	d := k.dispatcher
	if !d.isHome(k.service) {
		return
	}
	moves := k.chooseMoves()
	target := stageFor(moves.Reads)
	load := moves.Load
	for _, id := range moves.Engines {
		eventer.Info(d.Logs, eventer.StageSplitChosen, "service", k.service, "endpoint", id, "stage", target.String(),
			"readers", load.Readers, "generators", load.Generators, "read_ms", load.ReadTime.Milliseconds(),
			"run_ms", load.RunTime.Milliseconds(), "fit", load.Fit, "read", load.Read, "ended", load.Ended)
		if e := k.find(id); e != nil {
			go k.order(e, target)
		}
	}
}

func (k *desk) chooseMoves() placer.Moves {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if _, ok := k.update(now); !ok || now.Sub(k.since) < placer.WarmUp {
		return placer.Moves{}
	}
	return k.placer.Balance(now, conductor.Patience)
}

// stageFor returns the stage that reads prompts, or the one that generates.
func stageFor(reads bool) enroller.Stage {
	if reads {
		return enroller.Prefill
	}
	return enroller.Decode
}
