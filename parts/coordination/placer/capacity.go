package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

// capacityPeriod is how long a capacity stands: to work it out takes as long as placing dozens of requests.
const capacityLifetime = 250 * time.Millisecond

// admitShare is the part of the time to its target within which a request is admitted or deferred.
const admissionShare = 0.125

// isAdmitted tells whether a request has waited too long to be deferred.
func (r Request) isAdmitted(now time.Time) bool {
	return now.Sub(r.Arrived) > fraction(admissionShare, r.FirstEventDeadline.Sub(r.Arrived))
}

// capacity is what the engines that take something can serve in a second, by measured times.
type capacity struct {
	// rate is the number of usual requests a second, 0 if too little was measured.
	rate float64
	// usual is the work of a usual request.
	typical    float64
	measuredAt time.Time
}

// updateCapacity measures what the engines in use can serve, if that was long ago.
func (p *Placer) updateCapacity(now time.Time) {
	if age := now.Sub(p.capacity.measuredAt); age < 0 || age >= capacityLifetime {
		p.capacity = p.measureCapacity(now)
		p.capacity.measuredAt = now
	}
}

func (p *Placer) measureCapacity(now time.Time) capacity {
	l := p.measureLoad(now)
	l.PrefillEngines, l.DecodeEngines = 0, 0
	for _, e := range p.engines {
		switch {
		case !p.isActive(now, e):
		case e.IsPrefill:
			l.PrefillEngines++
		default:
			l.DecodeEngines++
		}
	}
	if !l.IsMeasured() {
		return capacity{}
	}
	return capacity{rate: l.Throughput(l.PrefillEngines), typical: work(p.typical())}
}

// usual is a request of mean size.
func (p *Placer) typical() packer.Job {
	return packer.Job{Prompt: int(p.sizes.prompt), Hint: int(p.sizes.hint), MaxOutput: int(p.sizes.maxOutput)}
}

// work is the memory of a generation times the tokens during which it is used.
func work(j packer.Job) float64 {
	output := float64(j.Hint)
	if output <= 0 {
		output = float64(j.MaxOutput)
	}
	return (float64(j.Prompt) + output/2) * output
}

// needs returns the time of all engines together that a request takes.
func (c capacity) engineTime(j packer.Job) time.Duration {
	return time.Duration(work(j) / max(1, c.typical) / c.rate * float64(time.Second))
}

// deferSome puts those behind the others who cannot all be served in time: the fewest, the largest first. The list is in
// the order in which it is served; the result tells whether anybody was put behind.
func (c capacity) deferExcess(now time.Time, list []Request) bool {
	if c.rate <= 0 {
		return false
	}
	var works []queuer.Task
	for _, r := range list {
		if !r.IsLate(now) {
			works = append(works, queuer.Task{EngineTime: c.engineTime(r.Job), LatestStart: r.TargetStart, IsAdmitted: r.isAdmitted(now)})
		}
	}
	isAny := false
	for i, deferred := range queuer.Defer(now, works) {
		if deferred {
			list[i].TargetStart = now.Add(-1)
			isAny = true
		}
	}
	return isAny
}
