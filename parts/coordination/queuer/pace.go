package queuer

import "time"

// remembered is the number of events that a pace is told by.
const windowSize = 12

// Pace is how fast events of one kind follow each other. It is not safe for concurrent use.
type RateEstimator struct {
	times []time.Time
}

// Note takes in an event.
func (p *RateEstimator) Record(now time.Time) {
	p.times = append(p.times, now)
	if len(p.times) > windowSize {
		p.times = p.times[1:]
	}
}

// Wait returns how long some further events take, false if too few are known.
func (p *RateEstimator) TimeFor(now time.Time, further int) (time.Duration, bool) {
	if len(p.times) < windowSize {
		return 0, false
	}
	took := now.Sub(p.times[0])
	if took <= 0 {
		return 0, false
	}
	return time.Duration(float64(further) * float64(took) / float64(len(p.times))), true
}

// Rate returns the events a second, 0 if too few are known.
func (p *RateEstimator) Rate(now time.Time) float64 {
	wait, ok := p.TimeFor(now, 1)
	if !ok {
		return 0
	}
	return 1 / wait.Seconds()
}
