package placer

import (
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
)

const (
	// meanWeight is the weight of the newest request in the moving averages of sizes. Sizes vary by half and more:
	// averages of 20 requests fluctuate enough to move engines back and forth.
	meanWeight = 0.01
	// reportGrace is how long a reported stage change is assumed to go on beyond the time that a change takes. The next
	// report arrives within it.
	reportGrace = 2 * time.Second
)

// sizes holds moving averages of the requests' sizes in tokens, and counts of finished prefills and runs.
type sizes struct {
	count  int
	prompt float64
	// cached is the part of the prompt that the prefill engines were predicted to have cached.
	cached      float64
	hint        float64
	maxOutput   float64
	prefills    int
	completions int
}

func (s *sizes) record(j packer.Job) {
	s.count++
	weight := max(meanWeight, 1/float64(s.count))
	s.prompt += weight * (float64(j.Prompt) - s.prompt)
	s.hint += weight * (float64(j.Hint) - s.hint)
	s.maxOutput += weight * (float64(j.MaxOutput) - s.maxOutput)
}

// recordPlacement updates the average of the tokens that prefill engines need not process.
func (s *sizes) recordPlacement(cached int) {
	s.cached += max(meanWeight, 1/float64(max(1, s.count))) * (float64(cached) - s.cached)
}

// stageChange is an order that an engine has not completed yet according to the engine list.
type stageChange struct {
	toPrefill bool
	expires   time.Time
}

// Moves lists the engines that are to change their stage, all in the same direction.
type Moves struct {
	Engines   []string
	IsPrefill bool
	// Load is the measurement that the decision is based on.
	Load stager.Load
}

// Balance decides which engines are to change their stage. They count as changing until the engine list shows the new
// stage, or for orderTimeout plus the time that a change takes.
func (p *Placer) Balance(now time.Time, orderTimeout time.Duration) Moves {
	m := Moves{Load: p.limitLoad(p.measureLoad(now))}
	move, n := p.stager.Decide(now, m.Load)
	m.IsPrefill = move == stager.ToPrefill
	for range n {
		e, ok := p.pickEngineToMove(now, m.IsPrefill)
		if !ok {
			break
		}
		m.Engines = append(m.Engines, e.ID)
		p.stageChanges[e.ID] = stageChange{toPrefill: m.IsPrefill, expires: now.Add(orderTimeout + p.service.SwitchTime)}
	}
	if len(m.Engines) > 0 {
		p.stager.RecordMove(now, p.service.SwitchTime)
	}
	return m
}

// RecordMoveFailure records that an engine will certainly not change its stage.
func (p *Placer) RecordMoveFailure(now time.Time, engine string) {
	delete(p.stageChanges, engine)
	p.stager.RecordMoveFailure(now)
}

// measureLoad returns the measured load of both stages, engines that are changing counted in their new stage.
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

// limitLoad lengthens the times of both stages by what the engines' rate limits reduce their throughput. A limit moves with
// its engine, so all limits count in both stages.
func (p *Placer) limitLoad(l stager.Load) stager.Load {
	var limits []float64
	for _, e := range p.engines {
		if e.IsLimited {
			limits = append(limits, e.PerSecond)
		}
	}
	if len(limits) == 0 || !l.IsMeasured() {
		return l
	}
	n := len(p.engines)
	slowed := func(took time.Duration, perEngine float64) time.Duration {
		rate := limitedRate(limits, n, perEngine)
		if rate <= 0 {
			return took // engines that accept nothing say nothing about the split
		}
		return time.Duration(float64(n) * perEngine / rate * float64(took))
	}
	l.PrefillTime, l.RunTime = slowed(l.PrefillTime, l.PrefillRate()), slowed(l.RunTime, l.DecodeRate())
	return l
}

// mean returns 0 if there are no values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// runsPerEngine returns how many runs like j fill an engine, and how long each takes on a full engine.
func (p *Placer) runsPerEngine(now time.Time, j packer.Job) (int, time.Duration) {
	n, duration := p.packer.MaxConcurrentRuns(now, p.service.Memory, p.service.Slots, p.packer.Rate(), j)
	if rate := p.tokenRate.Rate(n); rate > 0 {
		n, duration = p.packer.MaxConcurrentRuns(now, p.service.Memory, p.service.Slots, rate, j)
	}
	return n, duration
}

// willPrefill reports whether an engine is in the prefill stage or changing to it.
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

// isChanging reports whether an engine is changing its stage.
func (p *Placer) isChanging(now time.Time, e Engine) bool {
	return p.willPrefill(now, e) != e.IsPrefill
}

// reconcileStage compares a report with the engine list. A change takes longer than reports lag, so an engine that
// reports a stage other than the listed one, and no change in progress, has completed a change that the list does not
// show yet.
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

// lastOfVersionWork is the work that the last engine of its software version in the decode stage counts for, in runs: streams of
// that version could not be resumed without it.
const lastOfVersionWork = 1000

// pickEngineToMove returns the engine that loses the least work when it changes its stage. An engine counts for less the
// more of its stage are in its data centre.
func (p *Placer) pickEngineToMove(now time.Time, toPrefill bool) (Engine, bool) {
	var best Engine
	leastWork := 0.0
	for _, e := range p.engines {
		if e.IsPrefill == toPrefill || e.IsExcluded || e.IsFailing || p.isChanging(now, e) {
			continue
		}
		work := float64(p.packer.Runs(e.ID)) + p.prefillLoad.Backlog(now, e.ID).Seconds() - p.sameStageInDataCentre(now, e)
		if toPrefill && !p.hasOtherDecodeEngine(now, e) {
			work += lastOfVersionWork
		}
		if best.ID == "" || work < leastWork {
			best, leastWork = e, work
		}
	}
	return best, best.ID != ""
}

// hasOtherDecodeEngine reports whether another engine with the software version of e is, or will be, in the decode stage.
func (p *Placer) hasOtherDecodeEngine(now time.Time, e Engine) bool {
	return slices.ContainsFunc(p.engines, func(other Engine) bool {
		return other.ID != e.ID && other.Version == e.Version && !p.willPrefill(now, other)
	})
}

// sameStageInDataCentre returns the number of engines in the data centre of e that are in its stage.
func (p *Placer) sameStageInDataCentre(now time.Time, e Engine) float64 {
	n := 0
	for _, other := range p.engines {
		if other.DataCentre == e.DataCentre && p.willPrefill(now, other) == e.IsPrefill {
			n++
		}
	}
	return float64(n)
}
