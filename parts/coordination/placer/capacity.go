package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

// capacityLifetime is how long a measured capacity is reused: computing it takes as long as placing dozens of requests.
const capacityLifetime = 250 * time.Millisecond

// admissionShare is the share of a request's time to its target after which it can no longer be deferred.
const admissionShare = 0.125

// isAdmitted reports whether a request has waited too long to be deferred, or resumes a stream.
func (r Request) isAdmitted(now time.Time) bool {
	return r.IsResumption || now.Sub(r.Arrived) > fraction(admissionShare, r.FirstEventDeadline.Sub(r.Arrived))
}

// capacity is the throughput of the active engines, computed from measured times.
type capacity struct {
	// rate is in requests of mean size per second, 0 without enough samples.
	rate float64
	// typicalPrompt and typicalWork are those of a request of mean size, the latter as defined by work.
	typicalPrompt float64
	// typicalCached is the part of typicalPrompt that prefill engines need not process.
	typicalCached float64
	typicalWork   float64
	// isPrefillBound is set if the prefill stage limits the throughput.
	isPrefillBound bool
	measuredAt     time.Time
}

// updateCapacity measures the capacity again once it is older than capacityLifetime.
func (p *Placer) updateCapacity(now time.Time) {
	if age := now.Sub(p.capacity.measuredAt); age < 0 || age >= capacityLifetime {
		p.capacity = p.measureCapacity(now)
		p.capacity.measuredAt = now
	}
}

func (p *Placer) measureCapacity(now time.Time) capacity {
	l := p.measureLoad(now)
	l.PrefillEngines, l.DecodeEngines = 0, 0
	var limits [2][]float64 // the rate limits of prefill and decode engines
	for _, e := range p.engines {
		if !p.isActive(now, e) {
			continue
		}
		stage := 1
		if e.IsPrefill {
			stage = 0
			l.PrefillEngines++
		} else {
			l.DecodeEngines++
		}
		if e.IsLimited {
			limits[stage] = append(limits[stage], e.PerSecond)
		}
	}
	if !l.IsMeasured() {
		return capacity{}
	}
	prefillRate := limitedRate(limits[0], l.PrefillEngines, l.PrefillRate())
	decodeRate := limitedRate(limits[1], l.DecodeEngines, l.DecodeRate())
	typical := p.typical()
	return capacity{
		rate: min(prefillRate, decodeRate), typicalPrompt: float64(typical.Prompt), typicalCached: p.sizes.cached, typicalWork: work(typical),
		isPrefillBound: prefillRate < decodeRate,
	}
}

// limitedRate returns the requests per second of n engines, some of which have a rate limit. perEngine is that of one
// without.
func limitedRate(limits []float64, n int, perEngine float64) float64 {
	rate := float64(n-len(limits)) * perEngine
	for _, limit := range limits {
		rate += min(limit, perEngine)
	}
	return rate
}

// typical returns a job of mean size.
func (p *Placer) typical() packer.Job {
	return packer.Job{Prompt: int(p.sizes.prompt), Hint: int(p.sizes.hint), MaxOutput: int(p.sizes.maxOutput)}
}

// work returns the mean memory of a run in tokens, times the number of output tokens during which it is used.
func work(j packer.Job) float64 {
	output := float64(j.Hint)
	if output <= 0 {
		output = float64(j.MaxOutput)
	}
	return (float64(j.Prompt) + output/2) * output
}

// engineTime returns the time for which a request occupies the capacity of all engines together, in the stage that limits it.
// The prefill engines need not process cached tokens of its prompt.
func (c capacity) engineTime(r Request) time.Duration {
	share := work(r.Job) / max(1, c.typicalWork)
	if c.isPrefillBound {
		share = float64(r.Prompt-r.cached) / max(1, c.typicalPrompt-c.typicalCached)
	}
	return time.Duration(share / c.rate * float64(time.Second))
}

// deferExcess marks requests as late if not all can meet their targets: as few as possible, the largest first. The list
// is in service order. The result reports whether any request was marked.
func (c capacity) deferExcess(now time.Time, list []Request) bool {
	if c.rate <= 0 {
		return false
	}
	var tasks []queuer.Task
	for _, r := range list {
		if !r.IsLate(now) {
			latest := r.TargetStart
			if r.IsResumption {
				latest = r.LatestStart
			}
			tasks = append(tasks, queuer.Task{EngineTime: c.engineTime(r), LatestStart: latest, IsAdmitted: r.isAdmitted(now)})
		}
	}
	isChanged := false
	for i, deferred := range queuer.Defer(now, tasks) {
		if deferred {
			list[i].TargetStart = now.Add(-1)
			isChanged = true
		}
	}
	return isChanged
}
