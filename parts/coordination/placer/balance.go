package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
)

const (
	// meanWeight is the part that the newest request has in the moving averages of sizes. Sizes spread by half and more:
	// averages of twenty requests swing enough to move engines to and fro.
	meanWeight = 0.01
	// busyFor is how long an engine counts as changing after it has reported so, beyond the time that a change takes:
	// the next report is asked for within it.
	reportGrace = 2 * time.Second
)

// sizes are moving averages of what requests ask for, in tokens.
type sizes struct {
	count       int
	prompt      float64
	hint        float64
	maxOutput   float64
	prefills    int
	completions int
}

// asked takes one request into the averages.
func (s *sizes) record(j packer.Job) {
	s.count++
	weight := max(meanWeight, 1/float64(s.count))
	s.prompt += weight * (float64(j.Prompt) - s.prompt)
	s.hint += weight * (float64(j.Hint) - s.hint)
	s.maxOutput += weight * (float64(j.MaxOutput) - s.maxOutput)
}

// change is an order that an engine has not carried out yet, as far as the list tells.
type stageChange struct {
	toPrefill bool
	expires   time.Time
}

// Moves are engines that are to change their stage. Reads is the stage they change to.
type Moves struct {
	Engines   []string
	IsPrefill bool
	// Load is what the decision went by.
	Load stager.Load
}

// Balance decides which engines are to change their stage. They count as changing until the list tells, or for patience
// and the time that a change takes.
func (p *Placer) Balance(now time.Time, patience time.Duration) Moves {
	m := Moves{Load: p.measureLoad(now)}
	move, n := p.stager.Decide(now, m.Load)
	m.IsPrefill = move == stager.ToPrefill
	for range n {
		e, ok := p.pickEngineToMove(now, m.IsPrefill)
		if !ok {
			break
		}
		m.Engines = append(m.Engines, e.ID)
		p.stageChanges[e.ID] = stageChange{toPrefill: m.IsPrefill, expires: now.Add(patience + p.service.SwitchTime)}
	}
	if len(m.Engines) > 0 {
		p.stager.RecordMove(now, p.service.SwitchTime)
	}
	return m
}

// NotOrdered takes in that an engine is sure not to change its stage.
func (p *Placer) RecordMoveFailure(now time.Time, engine string) {
	delete(p.stageChanges, engine)
	p.stager.RecordMoveFailure(now)
}

// load measures both stages.
func (p *Placer) measureLoad(now time.Time) stager.Load {
	l := stager.Load{PrefillSamples: p.sizes.prefills, RunSamples: p.sizes.completions}
	var speeds []float64
	for _, e := range p.engines {
		failing := 0
		if e.IsFailing {
			failing = 1
		}
		if !p.willPrefill(now, e) {
			l.DecodeEngines++
			l.FailingDecodeEngines += failing
			continue
		}
		l.PrefillEngines++
		l.FailingPrefillEngines += failing
		if speed, ok := p.prefillLoad.MeasuredSpeed(e.ID); ok && e.IsPrefill {
			speeds = append(speeds, speed)
		}
	}
	if speed := mean(speeds); speed > 0 {
		l.PrefillTime = time.Duration(p.sizes.prompt / speed * float64(time.Second))
	}
	l.RunsPerEngine, l.RunTime = p.runsPerEngine(now, p.typical())
	return l
}

// mean returns 0 for no values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// fit returns how many generations like j fill an engine, and how long one runs there then.
func (p *Placer) runsPerEngine(now time.Time, j packer.Job) (int, time.Duration) {
	n, life := p.packer.MaxConcurrentRuns(now, p.service.Memory, p.service.Slots, p.packer.Rate(), j)
	if rate := p.tokenRate.Rate(n); rate > 0 {
		n, life = p.packer.MaxConcurrentRuns(now, p.service.Memory, p.service.Slots, rate, j)
	}
	return n, life
}

// willRead tells whether an engine reads prompts or is on its way to that stage.
func (p *Placer) willPrefill(now time.Time, e Engine) bool {
	c, ok := p.stageChanges[e.ID]
	if !ok {
		return e.IsPrefill
	}
	if e.IsPrefill == c.toPrefill || now.After(c.expires) {
		delete(p.stageChanges, e.ID)
		return e.IsPrefill
	}
	return c.toPrefill
}

// isChanging tells whether an engine is on its way to another stage.
func (p *Placer) isChanging(now time.Time, e Engine) bool {
	return p.willPrefill(now, e) != e.IsPrefill
}

// noteStage compares a report with the list. A change takes longer than reports lag, so that an engine that reports
// another stage than the list says, and no change, has completed one that the list does not tell of yet.
func (p *Placer) reconcileStage(now time.Time, r Report) {
	for _, e := range p.engines {
		if e.ID != r.Engine || p.isChanging(now, e) {
			continue
		}
		switch {
		case r.IsChangingStage && r.IsPrefill == e.IsPrefill:
			p.stageChanges[e.ID] = stageChange{toPrefill: !e.IsPrefill, expires: now.Add(p.service.SwitchTime + reportGrace)}
		case !r.IsChangingStage && r.IsPrefill != e.IsPrefill:
			p.stageChanges[e.ID] = stageChange{toPrefill: r.IsPrefill, expires: now.Add(reportGrace)}
		}
	}
}

// pickMove returns the engine that changes to a stage with the least work lost.
func (p *Placer) pickEngineToMove(now time.Time, reads bool) (Engine, bool) {
	var best Engine
	least := 0.0
	for _, e := range p.engines {
		if e.IsPrefill == reads || e.IsExcluded || e.IsFailing || p.isChanging(now, e) {
			continue
		}
		work := float64(p.packer.Runs(e.ID)) + p.prefillLoad.Backlog(now, e.ID).Seconds() - p.sameStageInDataCentre(now, e)
		if best.ID == "" || work < least {
			best, least = e, work
		}
	}
	return best, best.ID != ""
}

// crowding returns how many engines of the same stage an engine's data centre has: from there one is missed least.
func (p *Placer) sameStageInDataCentre(now time.Time, e Engine) float64 {
	n := 0
	for _, other := range p.engines {
		if other.DataCentre == e.DataCentre && p.willPrefill(now, other) == e.IsPrefill {
			n++
		}
	}
	return float64(n)
}
