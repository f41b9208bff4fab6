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
	busyFor = 2 * time.Second
)

// sizes are moving averages of what requests ask for, in tokens.
type sizes struct {
	count  int
	prompt float64
	hint   float64
	most   float64
	read   int
	ended  int
}

// asked takes one request into the averages.
func (s *sizes) asked(j packer.Job) {
	s.count++
	weight := max(meanWeight, 1/float64(s.count))
	s.prompt += weight * (float64(j.Prompt) - s.prompt)
	s.hint += weight * (float64(j.Hint) - s.hint)
	s.most += weight * (float64(j.MaxOutput) - s.most)
}

// change is an order that an engine has not carried out yet, as far as the list tells.
type change struct {
	reads bool
	until time.Time
}

// Moves are engines that are to change their stage. Reads is the stage they change to.
type Moves struct {
	Engines []string
	Reads   bool
	// Load is what the decision went by.
	Load stager.Load
}

// Balance decides which engines are to change their stage. They count as changing until the list tells, or for patience
// and the time that a change takes.
func (p *Placer) Balance(now time.Time, patience time.Duration) Moves {
	m := Moves{Load: p.load(now)}
	move, n := p.stager.Decide(now, m.Load)
	m.Reads = move == stager.ToPrefill
	for range n {
		e, ok := p.pickMove(now, m.Reads)
		if !ok {
			break
		}
		m.Engines = append(m.Engines, e.ID)
		p.changes[e.ID] = change{reads: m.Reads, until: now.Add(patience + p.service.SwitchTime)}
	}
	if len(m.Engines) > 0 {
		p.stager.Ordered(now, p.service.SwitchTime)
	}
	return m
}

// NotOrdered takes in that an engine is sure not to change its stage.
func (p *Placer) NotOrdered(now time.Time, engine string) {
	delete(p.changes, engine)
	p.stager.NotOrdered(now)
}

// load measures both stages.
func (p *Placer) load(now time.Time) stager.Load {
	l := stager.Load{Read: p.sizes.read, Ended: p.sizes.ended}
	var speeds []float64
	for _, e := range p.engines {
		failing := 0
		if e.IsFailing {
			failing = 1
		}
		if !p.willRead(now, e) {
			l.Generators++
			l.FailingGenerators += failing
			continue
		}
		l.Readers++
		l.FailingReaders += failing
		if speed, ok := p.readers.Measured(e.ID); ok && e.Reads {
			speeds = append(speeds, speed)
		}
	}
	if speed := mean(speeds); speed > 0 {
		l.ReadTime = time.Duration(p.sizes.prompt / speed * float64(time.Second))
	}
	l.Fit, l.RunTime = p.fit(now, p.usual())
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
func (p *Placer) fit(now time.Time, j packer.Job) (int, time.Duration) {
	n, life := p.packer.Fit(now, p.service.Memory, p.service.Slots, p.packer.Rate(), j)
	if rate := p.pace.Rate(n); rate > 0 {
		n, life = p.packer.Fit(now, p.service.Memory, p.service.Slots, rate, j)
	}
	return n, life
}

// willRead tells whether an engine reads prompts or is on its way to that stage.
func (p *Placer) willRead(now time.Time, e Engine) bool {
	c, ok := p.changes[e.ID]
	if !ok {
		return e.Reads
	}
	if e.Reads == c.reads || now.After(c.until) {
		delete(p.changes, e.ID)
		return e.Reads
	}
	return c.reads
}

// isChanging tells whether an engine is on its way to another stage.
func (p *Placer) isChanging(now time.Time, e Engine) bool { return p.willRead(now, e) != e.Reads }

// noteStage compares a report with the list. A change takes longer than reports lag, so that an engine that reports
// another stage than the list says, and no change, has completed one that the list does not tell of yet.
func (p *Placer) noteStage(now time.Time, r Report) {
	for _, e := range p.engines {
		if e.ID != r.Engine || p.isChanging(now, e) {
			continue
		}
		switch {
		case r.IsChanging && r.Reads == e.Reads:
			p.changes[e.ID] = change{reads: !e.Reads, until: now.Add(p.service.SwitchTime + busyFor)}
		case !r.IsChanging && r.Reads != e.Reads:
			p.changes[e.ID] = change{reads: r.Reads, until: now.Add(busyFor)}
		}
	}
}

// pickMove returns the engine that changes to a stage with the least work lost.
func (p *Placer) pickMove(now time.Time, reads bool) (Engine, bool) {
	var best Engine
	least := 0.0
	for _, e := range p.engines {
		if e.Reads == reads || e.Out || e.IsFailing || p.isChanging(now, e) {
			continue
		}
		work := float64(p.packer.Runs(e.ID)) + p.readers.Backlog(now, e.ID).Seconds() - p.crowding(now, e)
		if best.ID == "" || work < least {
			best, least = e, work
		}
	}
	return best, best.ID != ""
}

// crowding returns how many engines of the same stage an engine's data centre has: from there one is missed least.
func (p *Placer) crowding(now time.Time, e Engine) float64 {
	n := 0
	for _, other := range p.engines {
		if other.DataCentre == e.DataCentre && p.willRead(now, other) == e.Reads {
			n++
		}
	}
	return float64(n)
}
