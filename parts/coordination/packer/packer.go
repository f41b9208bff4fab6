// Package packer predicts the memory use of model engines, to decide which one has room for one more run.
//
// The KV cache of a run grows until the run ends, and runs end at different times. Reserving the longest output of each
// run leaves half of the memory idle; reserving the mean output causes preemptions. The packer predicts the memory use
// over the next seconds from the output of each run so far. One more run fits if the predicted peak, with a margin for
// its variance, is within the engine's memory. It is designed for bursts in which memory is the bottleneck, not slots.
package packer

import (
	"math"
	"time"
)

const (
	// steps times stepLength is the horizon of the memory forecast.
	steps      = 18
	stepLength = 400 * time.Millisecond
	// initialRate is the output of one run in tokens per second, before any measurement.
	initialRate = 1000.0
	// rateWeight is the weight of the newest measurement in the moving average of rates.
	rateWeight = 0.3
	// rateLifetime is how long a measured rate below the mean is valid. After it a slow engine gets work again.
	rateLifetime = 4 * time.Second
	// defaultMaxOutput is the longest output in tokens assumed for a run without a hint or limit.
	defaultMaxOutput = 2000
	// hintWeight is the weight of the newest request in the moving averages of hints and output limits.
	hintWeight = 0.1
	// reportLag is the longest delay of reports: a run that has just started may still be missing in them, and one that
	// has ended may still be listed.
	reportLag = 3 * time.Second
	// overdueFactor is how many times its longest predicted duration a run is kept without a report of its end.
	overdueFactor = 2
	// minSurvival is a lower bound of survival probabilities, to avoid a division by zero.
	minSurvival = 1e-3
)

// Job describes a run before it starts. Prompt, Hint and MaxOutput are in tokens; Hint is 0 if the caller gives none.
type Job struct {
	ID        string
	Prompt    int
	Hint      int
	MaxOutput int
}

type run struct {
	Job
	start time.Time
	// hint is the expected output in tokens; Ratios are relative to it.
	hint float64
}

// ReportedRun is a run in an engine's report.
type ReportedRun struct {
	ID string
	// Tokens is the memory in use, Events the number of events sent so far.
	Tokens int
	Events int
}

type engine struct {
	memory         int
	slots          int
	rate           float64
	rateMeasuredAt time.Time
	runs           map[string]*run
	// forecast is cached for forecastLifetime: it changes little in that time, and is needed for each waiting request.
	forecast   forecast
	forecastAt time.Time
	stale      bool
}

// forecast is the predicted memory use at each step, in tokens. upperBound is the use if no run ends before that step.
type forecast struct {
	mean       [steps]float64
	variance   [steps]float64
	upperBound [steps]float64
}

const forecastLifetime = 50 * time.Millisecond

// currentForecast returns the forecast of an engine, from the cache if it is valid.
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

// Packer tracks the runs at the engines of one service. It is not safe for concurrent use.
type Packer struct {
	confidence float64
	ratios     *Ratios
	// meanHint and meanMaxOutput are moving averages over requests, used for runs without a hint or limit.
	meanHint      float64
	meanMaxOutput float64
	engines       map[string]*engine
	engineByRun   map[string]string
	// endedAt holds, by run, when it ended. Reports that lag may still list the run.
	endedAt map[string]time.Time
}

// New returns a Packer with a margin of confidence standard deviations of the predicted memory use.
func New(confidence float64) *Packer {
	return &Packer{
		confidence: confidence, ratios: NewRatios(), engines: make(map[string]*engine), engineByRun: make(map[string]string),
		endedAt: make(map[string]time.Time),
	}
}

// SetCapacity sets the memory in tokens and the slots of an engine, which is added if it is new.
func (p *Packer) SetCapacity(name string, memory, slots int) {
	e := p.engines[name]
	if e == nil {
		e = &engine{rate: initialRate, runs: make(map[string]*run)}
		p.engines[name] = e
	}
	e.memory, e.slots = memory, slots
}

// RemoveEngine drops an engine with its runs.
func (p *Packer) RemoveEngine(name string) {
	if e := p.engines[name]; e != nil {
		for id := range e.runs {
			delete(p.engineByRun, id)
		}
		delete(p.engines, name)
	}
}

// Engines returns the names of the engines, in no order.
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

// ConcurrentRuns returns the number of runs at the engine of a run, including itself, 0 if the run is unknown.
func (p *Packer) ConcurrentRuns(id string) int { return p.Runs(p.engineByRun[id]) }

// Peak returns the predicted peak memory use as a share of the engine's memory if j starts there at start. Above 1 the
// engine has no room.
func (p *Packer) Peak(now time.Time, name string, j Job, start time.Time) float64 {
	e := p.engines[name]
	if e == nil || e.memory <= 0 {
		return math.Inf(1)
	}
	if len(e.runs) >= e.slots {
		return math.Inf(1)
	}
	f := *p.currentForecast(now, e)
	p.addToForecast(now, e, &run{Job: j, start: start, hint: p.expectedOutput(j)}, &f)
	return p.peakWithMargin(&f) / float64(e.memory)
}

// peakWithMargin returns the peak of a forecast with the margin for its variance. The margin is limited by the use if no
// run ends: prompt sizes are known exactly, and output sizes over the next seconds nearly so.
func (p *Packer) peakWithMargin(f *forecast) float64 {
	peak := 0.0
	for i := range f.mean {
		peak = max(peak, min(f.mean[i]+p.confidence*math.Sqrt(f.variance[i]), f.upperBound[i]))
	}
	return peak
}

// addToForecast adds the use of one run at each step.
func (p *Packer) addToForecast(now time.Time, e *engine, r *run, f *forecast) {
	produced := min(e.rate*max(0, now.Sub(r.start).Seconds()), r.maxOutput())
	survived := max(p.survival(r, produced), minSurvival)
	for i := range steps {
		at := now.Add(time.Duration(i) * stepLength)
		output := max(produced, e.rate*max(0, at.Sub(r.start).Seconds()))
		share := 1.0
		if i > 0 {
			share = min(1, p.survival(r, output)/survived)
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

// survival returns the probability that a run produces more than output tokens.
func (p *Packer) survival(r *run, output float64) float64 {
	if output >= r.maxOutput() {
		return 0
	}
	return p.ratios.Survival(output / max(1, r.hint))
}

// expectedOutput returns the hint of a job, or else the mean hint, or half of the output limit.
func (p *Packer) expectedOutput(j Job) float64 {
	switch {
	case j.Hint > 0:
		return float64(j.Hint)
	case p.meanHint > 0:
		return p.meanHint
	}
	return max(float64(j.MaxOutput), p.meanMaxOutput, defaultMaxOutput) / 2
}

// RecordArrival updates the averages of hints and output limits with a new request.
func (p *Packer) RecordArrival(j Job) {
	if j.Hint > 0 {
		p.meanHint = movingAverage(p.meanHint, float64(j.Hint))
	}
	if j.MaxOutput > 0 {
		p.meanMaxOutput = movingAverage(p.meanMaxOutput, float64(j.MaxOutput))
	}
}

// movingAverage returns the average updated with a value; an average of 0 has no values yet.
func movingAverage(average, value float64) float64 {
	if average == 0 {
		return value
	}
	return average + hintWeight*(value-average)
}

// Add adds a run to an engine, with its output starting at start.
func (p *Packer) Add(name string, j Job, start time.Time) {
	e := p.engines[name]
	if e == nil {
		return
	}
	e.runs[j.ID] = &run{Job: j, start: start, hint: p.expectedOutput(j)}
	e.stale = true
	delete(p.endedAt, j.ID)
	p.engineByRun[j.ID] = name
}

// RecordFirstEvent replaces the predicted start of a run's output with the actual one.
func (p *Packer) RecordFirstEvent(id string, at time.Time) {
	if e := p.engines[p.engineByRun[id]]; e != nil && e.runs[id] != nil {
		e.runs[id].start = at
	}
}

// Remove drops a run that ended or did not start.
func (p *Packer) Remove(now time.Time, id string) {
	p.endedAt[id] = now
	if e := p.engines[p.engineByRun[id]]; e != nil {
		delete(e.runs, id)
		e.stale = true
	}
	delete(p.engineByRun, id)
}

// Complete drops a run that completed, and adds its output to the ratios.
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

// RecordOutput updates the rate of an engine: one of its runs produced output tokens in the time took.
func (p *Packer) RecordOutput(now time.Time, id string, output int, took time.Duration) {
	e := p.engines[p.engineByRun[id]]
	if e == nil || output <= 0 || took <= 0 {
		return
	}
	e.rate += rateWeight * (float64(output)/took.Seconds() - e.rate)
	e.rateMeasuredAt = now
}

// OutputTime returns how long an engine takes for output tokens of one run. A rate below the mean is replaced by the
// mean once it is older than rateLifetime.
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

// Observe processes an engine's report, with stride tokens per event. It adds runs of other hosts, and drops runs that
// are no longer listed.
func (p *Packer) Observe(now time.Time, name string, stride int, reported []ReportedRun) {
	e := p.engines[name]
	if e == nil {
		return
	}
	present := make(map[string]bool, len(reported))
	for _, rr := range reported {
		present[rr.ID] = true
		if _, ended := p.endedAt[rr.ID]; !ended && e.runs[rr.ID] == nil {
			output := rr.Events * stride
			start := now.Add(-time.Duration(float64(output) / e.rate * float64(time.Second)))
			p.Add(name, Job{ID: rr.ID, Prompt: max(0, rr.Tokens-output), MaxOutput: int(p.meanMaxOutput)}, start)
		}
	}
	for id, r := range e.runs {
		if !present[id] && now.Sub(r.start) > reportLag {
			p.Remove(now, id)
		}
	}
}

// Expire drops runs that must have ended without a report.
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

// MaxConcurrentRuns returns how many runs like j, at evenly spread ages, an engine has room for, and the duration of one.
func (p *Packer) MaxConcurrentRuns(now time.Time, memory, slots int, rate float64, j Job) (int, time.Duration) {
	hint := p.expectedOutput(j)
	output := p.ratios.Mean() * hint
	duration := time.Duration(output / rate * float64(time.Second))
	for n := 1; n <= slots; n++ {
		e := &engine{memory: memory, slots: slots, rate: rate}
		var f forecast
		for i := range n {
			age := time.Duration(float64(duration) * float64(i) / float64(n))
			p.addToForecast(now, e, &run{Job: j, start: now.Add(-age), hint: hint}, &f)
		}
		if p.peakWithMargin(&f) > float64(memory) {
			return n - 1, duration
		}
	}
	return slots, duration
}

// Rate returns the mean output per run in tokens per second, over all engines.
func (p *Packer) Rate() float64 {
	sum := 0.0
	for _, e := range p.engines {
		sum += e.rate
	}
	return sum / float64(max(1, len(p.engines)))
}
