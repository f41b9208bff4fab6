package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/conductor"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// balancePeriod is the time between two looks at the split of engines.
	balancePeriod = 500 * time.Millisecond
	// meanWeight is the part that the newest request has in the moving averages of sizes.
	meanWeight = 0.05
)

// Orders has engines change their stage.
type Orders interface {
	Order(ctx context.Context, e *enlister.Endpoint, stage enroller.Stage, expect int64) error
}

// sizes are moving averages of what requests ask for, in tokens.
type sizes struct {
	count  int
	prompt float64
	hint   float64
	most   float64
	read   int
	ended  int
}

// admit takes one request into the averages.
func (s *sizes) admit(a Ask) {
	s.count++
	weight := max(meanWeight, 1/float64(s.count))
	s.prompt += weight * (float64(a.Prompt) - s.prompt)
	s.hint += weight * (float64(a.Hint) - s.hint)
	s.most += weight * (float64(a.MaxOutput) - s.most)
}

// change is an order that an engine has not carried out yet, as far as its entry tells.
type change struct {
	stage enroller.Stage
	until time.Time
}

// balance moves an engine to the other stage if that serves more.
func (k *desk) balance(ctx context.Context) {
	d := k.dispatcher
	if !d.isHome(k.service) {
		return
	}
	service, ok := d.Describe(k.service)
	if !ok || service.Engine == nil {
		return
	}
	now := d.Clock.Now()
	k.mu.Lock()
	load := k.load(now, service.Engine.Memory, service.Engine.Slots)
	move := stager.Stay
	if now.Sub(k.since) >= warmUp {
		move = k.stager.Decide(now, load)
	}
	target := enroller.Decode
	if move == stager.ToPrefill {
		target = enroller.Prefill
	}
	var e *enlister.Endpoint
	if move != stager.Stay {
		e = k.pickMove(now, target)
	}
	if e != nil {
		k.stager.Ordered(now, service.Engine.SwitchTime)
		k.changes[e.ID] = change{stage: target, until: now.Add(conductor.Patience + service.Engine.SwitchTime)}
	}
	k.mu.Unlock()
	if e == nil {
		return
	}
	eventer.Info(d.Logs, eventer.SplitChosen, "service", k.service, "endpoint", e.ID, "stage", target.String(),
		"readers", load.Readers, "generators", load.Generators, "read_ms", load.ReadTime.Milliseconds(),
		"run_ms", load.RunTime.Milliseconds(), "fit", load.Fit, "read", load.Read, "ended", load.Ended)
	k.order(ctx, e, target)
}

// order sends an order. Unless it is sure not to be carried out, the engine stays out of use until its entry tells.
func (k *desk) order(ctx context.Context, e *enlister.Endpoint, target enroller.Stage) {
	d := k.dispatcher
	load, err := d.Engines.Report(ctx, e.Address)
	if err == nil {
		err = d.Orders.Order(ctx, e, target, load.Orders)
	}
	if err == nil {
		return
	}
	eventer.Warn(d.Logs, eventer.OrderFailed, "service", k.service, "endpoint", e.ID, "stage", target.String(), "error", err.Error())
	if conductor.IsUnsent(err) {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.changes, e.ID)
		k.stager.NotOrdered(d.Clock.Now())
	}
}

// load measures both stages. The caller holds mu.
func (k *desk) load(now time.Time, memory, slots int) stager.Load {
	l := stager.Load{Read: k.sizes.read, Ended: k.sizes.ended}
	speed := 0.0
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if k.stage(now, e) == enroller.Prefill {
			l.Readers++
			if e.Stage == enroller.Prefill {
				speed = max(speed, k.readers.Speed(e.ID))
			}
			continue
		}
		l.Generators++
	}
	if speed > 0 {
		l.ReadTime = time.Duration(k.sizes.prompt / speed * float64(time.Second))
	}
	job := packer.Job{Prompt: int(k.sizes.prompt), Hint: int(k.sizes.hint), MaxOutput: int(k.sizes.most)}
	l.Fit, l.RunTime = k.packer.Fit(now, memory, slots, k.packer.Rate(), job)
	return l
}

// stage returns the stage that an engine has or is on its way to. The caller holds mu.
func (k *desk) stage(now time.Time, e *enlister.Endpoint) enroller.Stage {
	c, ok := k.changes[e.ID]
	if !ok {
		return e.Stage
	}
	if e.Stage == c.stage || now.After(c.until) {
		delete(k.changes, e.ID)
		return e.Stage
	}
	return c.stage
}

// isChanging tells whether an engine is on its way to another stage. The caller holds mu.
func (k *desk) isChanging(now time.Time, e *enlister.Endpoint) bool {
	return k.stage(now, e) != e.Stage
}

// pickMove returns the engine that changes to a stage with the least work lost. The caller holds mu.
func (k *desk) pickMove(now time.Time, target enroller.Stage) *enlister.Endpoint {
	var best *enlister.Endpoint
	least := 0.0
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if (e.Stage == enroller.Prefill) == (target == enroller.Prefill) || e.IsEjected(now) || k.isChanging(now, e) {
			continue
		}
		work := float64(k.packer.Runs(e.ID)) + k.readers.Backlog(now, e.ID).Seconds()
		work -= k.crowding(now, e)
		if best == nil || work < least {
			best, least = e, work
		}
	}
	return best
}

// crowding returns how many engines of the same stage an engine's data centre has: from there one is missed least.
func (k *desk) crowding(now time.Time, e *enlister.Endpoint) float64 {
	n := 0
	for _, other := range k.dispatcher.Endpoints.Service(k.service) {
		if other.DataCentre == e.DataCentre && k.stage(now, other) == e.Stage {
			n++
		}
	}
	return float64(n)
}
