// Package packer decides which model engine has room for one more generation.
//
// A generation's memory grows until it ends, and generations end at different times. Reserving the longest output of
// each leaves half of the memory idle; reserving the usual one has generations preempted. The packer predicts the
// memory in use over the next seconds from what each generation has made so far, and takes one more only if the
// highest point, with a margin for its spread, fits. It answers bursts in which memory binds and slots do not.
package packer

import (
	"math"
	"time"
)

const (
	// steps of stepLength are how far the use of memory is predicted.
	steps      = 18
	stepLength = 400 * time.Millisecond
	// firstRate is the output of one run in tokens a second before any run has ended.
	initialRate = 1000.0
	// rateWeight is the part that the newest measurement has in the moving average of rates.
	rateWeight = 0.3
	// rateMemory is how long a measured rate stands. An engine that was slow is then given work again.
	rateLifetime = 4 * time.Second
	// usualOutput is the longest output in tokens of a run of which nothing is known at all.
	defaultMaxOutput = 2000
	// hintWeight is the part that the newest hint has in the moving average of hints.
	hintWeight = 0.1
	// settle is how long a run may be missing in an engine's reports after its start: reports lag.
	reportLag = 3 * time.Second
	// overdue is how many times its longest predicted life a run is kept without a word of its end.
	overdueFactor = 2
	// least is the smallest conditional probability that is told apart from none.
	minSurvival = 1e-3
)

// Job describes a generation. Numbers are of tokens; Hint is 0 if the caller gives none.
type Job struct {
	ID        string
	Prompt    int
	Hint      int
	MaxOutput int
}

type run struct {
	Job
	start time.Time
	// hint is the expected output that ratios refer to.
	hint float64
}

// Observed is a run in an engine's report.
type ReportedRun struct {
	ID string
	// Tokens is the memory in use, Events the number of events made.
	Tokens int
	Events int
}

type engine struct {
	memory int
	slots  int
	rate   float64
	// measured is when the rate was last measured.
	rateMeasuredAt time.Time
	runs           map[string]*run
	// forecast is the predicted use, kept for a short while: it changes little, and is asked for by each request that
	// waits.
	forecast   forecast
	forecastAt time.Time
	stale      bool
}

// forecast is a predicted use of memory at each step. Most is the use if no run ends before that step.
type forecast struct {
	mean       [steps]float64
	variance   [steps]float64
	upperBound [steps]float64
}

// refresh is how long a forecast is used.
const forecastLifetime = 50 * time.Millisecond

// predicted returns the forecast of an engine.
func (p *Packer) currentForecast(now time.Time, e *engine) *forecast {
	if !e.stale && now.Sub(e.forecastAt) < forecastLifetime && !now.Before(e.forecastAt) {
		return &e.forecast
	}
	e.forecast = forecast{}
	for _, r := range e.runs {
		p.addToForecast(now, e, r, &e.forecast)
	}
	e.forecastAt, e.stale = now, false
	return &e.forecast
}

// Packer counts the memory of the engines of one service. It is not safe for concurrent use.
type Packer struct {
	confidence float64
	ratios     *Ratios
	// hint and most are what requests usually say of their output, for runs of which nothing is known.
	meanHint      float64
	meanMaxOutput float64
	engines       map[string]*engine
	engineByRun   map[string]string
	// ended tells when runs ended: a report that lags may still list them.
	endedAt map[string]time.Time
}

// New returns a Packer that keeps confidence standard deviations of the predicted use free.
func New(confidence float64) *Packer {
	return &Packer{
		confidence: confidence, ratios: NewRatios(), engines: make(map[string]*engine), engineByRun: make(map[string]string),
		endedAt: make(map[string]time.Time),
	}
}

// Resize tells the memory in tokens and the slots of an engine.
func (p *Packer) SetCapacity(name string, memory, slots int) {
	e := p.engines[name]
	if e == nil {
		e = &engine{rate: initialRate, runs: make(map[string]*run)}
		p.engines[name] = e
	}
	e.memory, e.slots = memory, slots
}

// Forget drops an engine with its runs.
func (p *Packer) RemoveEngine(name string) {
	if e := p.engines[name]; e != nil {
		for id := range e.runs {
			delete(p.engineByRun, id)
		}
		delete(p.engines, name)
	}
}

// Engines returns the names of the engines that are counted.
func (p *Packer) Engines() []string {
	names := make([]string, 0, len(p.engines))
	for name := range p.engines {
		names = append(names, name)
	}
	return names
}

// Runs returns the number of runs at an engine.
func (p *Packer) Runs(name string) int {
	if e := p.engines[name]; e != nil {
		return len(e.runs)
	}
	return 0
}

// Beside returns the number of runs at the engine of a run, itself counted, 0 if it is not known.
func (p *Packer) ConcurrentRuns(id string) int { return p.Runs(p.engineByRun[id]) }

// Peak returns the highest predicted share of an engine's memory if j began there at begins; above 1 it has no room.
func (p *Packer) Peak(now time.Time, name string, j Job, begins time.Time) float64 {
	e := p.engines[name]
	if e == nil || e.memory <= 0 {
		return math.Inf(1)
	}
	if len(e.runs) >= e.slots {
		return math.Inf(1)
	}
	f := *p.currentForecast(now, e)
	p.addToForecast(now, e, &run{Job: j, start: begins, hint: p.expectedOutput(j)}, &f)
	return p.peakWithMargin(&f) / float64(e.memory)
}

// highest returns the highest point of a forecast with the margin for its spread, which is never more than the use if
// all runs go on: the sizes of prompts are known, and those of outputs over the next moments nearly so.
func (p *Packer) peakWithMargin(f *forecast) float64 {
	highest := 0.0
	for i := range f.mean {
		highest = max(highest, min(f.mean[i]+p.confidence*math.Sqrt(f.variance[i]), f.upperBound[i]))
	}
	return highest
}

// predict adds the use of one run at each step.
func (p *Packer) addToForecast(now time.Time, e *engine, r *run, f *forecast) {
	made := min(e.rate*max(0, now.Sub(r.start).Seconds()), r.maxOutput())
	alive := max(p.survival(r, made), minSurvival)
	for i := range steps {
		at := now.Add(time.Duration(i) * stepLength)
		output := max(made, e.rate*max(0, at.Sub(r.start).Seconds()))
		share := 1.0
		if i > 0 {
			share = min(1, p.survival(r, output)/alive)
		}
		use := float64(r.Prompt) + min(output, r.maxOutput())
		f.mean[i] += share * use
		f.upperBound[i] += use
		f.variance[i] += share * (1 - share) * use * use
	}
}

func (r *run) maxOutput() float64 {
	if r.MaxOutput > 0 {
		return float64(r.MaxOutput)
	}
	return 8 * r.hint
}

// survival returns the probability that a run makes more than output tokens.
func (p *Packer) survival(r *run, output float64) float64 {
	if output >= r.maxOutput() {
		return 0
	}
	return p.ratios.Survival(output / max(1, r.hint))
}

// expected returns the output that a job's ratio refers to: its hint, or the usual one.
func (p *Packer) expectedOutput(j Job) float64 {
	switch {
	case j.Hint > 0:
		return float64(j.Hint)
	case p.meanHint > 0:
		return p.meanHint
	}
	return max(float64(j.MaxOutput), p.meanMaxOutput, defaultMaxOutput) / 2
}

// Asked learns what requests say of their output.
func (p *Packer) RecordArrival(j Job) {
	if j.Hint > 0 {
		p.meanHint = movingAverage(p.meanHint, float64(j.Hint))
	}
	if j.MaxOutput > 0 {
		p.meanMaxOutput = movingAverage(p.meanMaxOutput, float64(j.MaxOutput))
	}
}

// follow moves an average towards a value; 0 stands for none yet.
func movingAverage(average, value float64) float64 {
	if average == 0 {
		return value
	}
	return average + hintWeight*(value-average)
}

// Add counts a run at an engine from begins on.
func (p *Packer) Add(name string, j Job, begins time.Time) {
	e := p.engines[name]
	if e == nil {
		return
	}
	e.runs[j.ID] = &run{Job: j, start: begins, hint: p.expectedOutput(j)}
	e.stale = true
	delete(p.endedAt, j.ID)
	p.engineByRun[j.ID] = name
}

// Began corrects when the output of a run began.
func (p *Packer) RecordFirstEvent(id string, at time.Time) {
	if e := p.engines[p.engineByRun[id]]; e != nil && e.runs[id] != nil {
		e.runs[id].start = at
	}
}

// Remove drops a run that ended or did not begin.
func (p *Packer) Remove(now time.Time, id string) {
	p.endedAt[id] = now
	if e := p.engines[p.engineByRun[id]]; e != nil {
		delete(e.runs, id)
		e.stale = true
	}
	delete(p.engineByRun, id)
}

// Finished drops a run that came to its end and learns from its output.
func (p *Packer) Complete(now time.Time, id string, output int) {
	e := p.engines[p.engineByRun[id]]
	if e == nil || e.runs[id] == nil {
		return
	}
	if output > 0 {
		p.ratios.Add(float64(output) / max(1, e.runs[id].hint))
	}
	p.Remove(now, id)
}

// Paced learns the rate of an engine from output that one of its runs made in took.
func (p *Packer) RecordOutput(now time.Time, id string, output int, took time.Duration) {
	e := p.engines[p.engineByRun[id]]
	if e == nil || output <= 0 || took <= 0 {
		return
	}
	e.rate += rateWeight * (float64(output)/took.Seconds() - e.rate)
	e.rateMeasuredAt = now
}

// Pause returns how long an engine takes to make output tokens of one run. A rate that was measured long ago is given
// up for the usual one.
func (p *Packer) OutputTime(now time.Time, name string, output int) time.Duration {
	e := p.engines[name]
	if e == nil {
		return 0
	}
	if now.Sub(e.rateMeasuredAt) > rateLifetime && e.rate < p.Rate() {
		e.rate = p.Rate()
	}
	return time.Duration(float64(output) / e.rate * float64(time.Second))
}

// Observe takes an engine's report, with stride tokens in an event: runs of other hosts are counted, and runs that are gone are dropped.
func (p *Packer) Observe(now time.Time, name string, stride int, seen []ReportedRun) {
	e := p.engines[name]
	if e == nil {
		return
	}
	present := make(map[string]bool, len(seen))
	for _, o := range seen {
		present[o.ID] = true
		if _, ended := p.endedAt[o.ID]; !ended && e.runs[o.ID] == nil {
			output := o.Events * stride
			begun := now.Add(-time.Duration(float64(output) / e.rate * float64(time.Second)))
			p.Add(name, Job{ID: o.ID, Prompt: max(0, o.Tokens-output), MaxOutput: int(p.meanMaxOutput)}, begun)
		}
	}
	for id, r := range e.runs {
		if !present[id] && now.Sub(r.start) > reportLag {
			p.Remove(now, id)
		}
	}
}

// Expire drops runs that must have ended long ago.
func (p *Packer) Expire(now time.Time) {
	for id, at := range p.endedAt {
		if now.Sub(at) > reportLag {
			delete(p.endedAt, id)
		}
	}
	for _, e := range p.engines {
		for id, r := range e.runs {
			if now.Sub(r.start).Seconds() > overdueFactor*r.maxOutput()/e.rate+reportLag.Seconds() {
				p.Remove(now, id)
			}
		}
	}
}

// Fit returns how many generations like j, at all ages, an engine has room for, and how long one runs.
func (p *Packer) MaxConcurrentRuns(now time.Time, memory, slots int, rate float64, j Job) (int, time.Duration) {
	hint := p.expectedOutput(j)
	output := p.ratios.Mean() * hint
	life := time.Duration(output / rate * float64(time.Second))
	for n := 1; n <= slots; n++ {
		e := &engine{memory: memory, slots: slots, rate: rate}
		var f forecast
		for i := range n {
			age := time.Duration(float64(life) * float64(i) / float64(n))
			p.addToForecast(now, e, &run{Job: j, start: now.Add(-age), hint: hint}, &f)
		}
		if p.peakWithMargin(&f) > float64(memory) {
			return n - 1, life
		}
	}
	return slots, life
}

// Rate returns the mean output of a run in tokens a second over all engines.
func (p *Packer) Rate() float64 {
	sum := 0.0
	for _, e := range p.engines {
		sum += e.rate
	}
	return sum / float64(max(1, len(p.engines)))
}
