package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
)

const (
	// reportPeriod is the time between questions for engines' reports, while requests come.
	reportPeriod = 2 * time.Second
	// warmPeriod is the time between questions for reports while a home is new.
	warmPeriod = 500 * time.Millisecond
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
			for _, e := range d.Endpoints.Service(k.service) {
				if e.Stage != enroller.Prefill || k.isNew(now) {
					go k.observe(e)
				}
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		k.balance(ctx)
		cancel()
		if !d.sleep(balancePeriod) {
			return
		}
	}
}

func (k *desk) period(now time.Time) time.Duration {
	if k.isNew(now) {
		return warmPeriod
	}
	return reportPeriod
}

// isNew tells whether the host may not know yet what an earlier home has done.
func (k *desk) isNew(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.since) < 2*warmUp
}

func (k *desk) isUsed() bool {
	now := k.dispatcher.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.packer.Expire(now)
	k.watching = now.Sub(k.used) < idleAfter
	return k.watching
}

func (k *desk) observe(e *enlister.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	load, err := k.dispatcher.Engines.Report(ctx, e.Address)
	if err != nil {
		return // the next report or call tells whether the engine is gone
	}
	service, ok := k.dispatcher.Describe(k.service)
	if !ok || service.Engine == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if load.Busy {
		k.noteBusy(e, service.Engine.SwitchTime)
	}
	k.packer.Observe(k.dispatcher.Clock.Now(), e.ID, service.Engine.Stride, load.Runs)
}

// noteBusy takes in that an engine carries out an order of an earlier home, whatever its entry says. The caller holds mu.
func (k *desk) noteBusy(e *enlister.Endpoint, switching time.Duration) {
	now := k.dispatcher.Clock.Now()
	if k.isChanging(now, e) {
		return
	}
	target := enroller.Prefill
	if e.Stage == enroller.Prefill {
		target = enroller.Decode
	}
	k.changes[e.ID] = change{stage: target, until: now.Add(switching + reportPeriod)}
}
