package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
)

const (
	// reportPeriod is the time between questions for engines' reports, while requests come.
	reportPeriod = 2 * time.Second
	// warmPeriod is the time between questions for reports while a home is new.
	warmPeriod = 500 * time.Millisecond
	// reportRate bounds the questions for reports in a second: those of hundreds of engines would take a home's time.
	reportRate = 100
	// reportTimeout bounds such a question.
	reportTimeout = 500 * time.Millisecond
	// idleAfter is how long after the last request reports are asked for.
	idleAfter = 6 * time.Second
)

// watch balances the stages while requests come, and asks engines for their reports, so that the runs of hosts that
// place alone are counted.
func (k *desk) watch() {
	d := k.dispatcher
	var asked time.Time
	for k.isUsed() {
		if now := d.Clock.Now(); now.Sub(asked) >= k.period(now) {
			asked = now
			go k.observeAll(k.isNew(now))
		}
		k.balance()
		if !d.sleep(balancePeriod) {
			return
		}
	}
}

func (k *desk) period(now time.Time) time.Duration {
	engines := len(k.dispatcher.Endpoints.Service(k.service))
	least := time.Duration(engines) * time.Second / reportRate
	if k.isNew(now) {
		return max(warmPeriod, least)
	}
	return max(reportPeriod, least)
}

// isNew tells whether the host may not know yet what an earlier home has done.
func (k *desk) isNew(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.since) < 2*placer.WarmUp
}

func (k *desk) isUsed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.placer.Expire(now)
	k.watching = now.Sub(k.used) < idleAfter
	return k.watching
}

// observeAll asks the engines for their reports one after another; those that read prompts only if the host is new.
func (k *desk) observeAll(isNew bool) {
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage == enroller.Prefill && !isNew {
			continue
		}
		go k.observe(e)
		if !k.dispatcher.sleep(time.Second / reportRate) {
			return
		}
	}
}

func (k *desk) observe(e *enlister.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	load, err := k.dispatcher.Engines.Report(ctx, e.Address)
	if err != nil {
		return // the next report or call tells whether the engine is gone
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if _, ok := k.update(now); ok {
		k.placer.Observe(now, placer.Report{
			Engine: e.ID, Runs: load.Runs, IsPrefill: load.Stage == enroller.Prefill, IsChangingStage: load.Busy,
		})
	}
}
