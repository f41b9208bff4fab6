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
	warmUpReportPeriod = 500 * time.Millisecond
	// reportRate bounds the questions for reports in a second: those of hundreds of engines would take a home's time.
	maxReportsPerSecond = 100
	// reportTimeout bounds such a question.
	reportTimeout = 500 * time.Millisecond
	// idleAfter is how long after the last request reports are asked for.
	idleTimeout = 6 * time.Second
)

// watch balances the stages while requests come, and asks engines for their reports, so that the runs of hosts that
// place alone are counted.
func (k *scheduler) watch() {
	d := k.dispatcher
	var asked time.Time
	for k.isInUse() {
		if now := d.Clock.Now(); now.Sub(asked) >= k.reportInterval(now) {
			asked = now
			go k.fetchReports(k.isWarmingUp(now))
		}
		k.balance()
		if !d.sleep(balancePeriod) {
			return
		}
	}
}

func (k *scheduler) reportInterval(now time.Time) time.Duration {
	engines := len(k.dispatcher.Endpoints.Service(k.service))
	least := time.Duration(engines) * time.Second / maxReportsPerSecond
	if k.isWarmingUp(now) {
		return max(warmUpReportPeriod, least)
	}
	return max(reportPeriod, least)
}

// isNew tells whether the host may not know yet what an earlier home has done.
func (k *scheduler) isWarmingUp(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.activeSince) < 2*placer.WarmUp
}

func (k *scheduler) isInUse() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	k.placer.Expire(now)
	k.isWatching = now.Sub(k.lastUsed) < idleTimeout
	return k.isWatching
}

// observeAll asks the engines for their reports one after another; those that read prompts only if the host is new.
func (k *scheduler) fetchReports(isNew bool) {
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage == enroller.Prefill && !isNew {
			continue
		}
		go k.fetchReport(e)
		if !k.dispatcher.sleep(time.Second / maxReportsPerSecond) {
			return
		}
	}
}

func (k *scheduler) fetchReport(e *enlister.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	load, err := k.dispatcher.Engines.Report(ctx, e.Address)
	if err != nil {
		return // the next report or call tells whether the engine is gone
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	if _, ok := k.updateEngines(now); ok {
		k.placer.Observe(now, placer.Report{
			Engine: e.ID, Runs: load.Runs, IsPrefill: load.Stage == enroller.Prefill, IsChangingStage: load.Busy,
		})
	}
}
