package queuer

import "time"

const (
	// rateSpan is the time over which a RateCounter counts.
	rateSpan = time.Second
	// rateSteps is the number of steps of that time.
	rateSteps = 10
)

// RateCounter measures the rate of events over the last second. Unlike the rate of the latest few events, it does not fluctuate while
// events come at random times with a steady mean. It is not safe for concurrent use; the zero value has seen no event.
type RateCounter struct {
	counts [rateSteps]int
	step   int64
	sum    int
}

func (rc *RateCounter) advance(now time.Time) {
	step := now.UnixNano() / int64(rateSpan/rateSteps)
	for s := max(rc.step+1, step-rateSteps+1); s <= step; s++ {
		rc.sum -= rc.counts[s%rateSteps]
		rc.counts[s%rateSteps] = 0
	}
	rc.step = max(rc.step, step)
}

// Record adds an event.
func (rc *RateCounter) Record(now time.Time) {
	rc.advance(now)
	rc.counts[rc.step%rateSteps]++
	rc.sum++
}

// Rate returns the events per second.
func (rc *RateCounter) Rate(now time.Time) float64 {
	rc.advance(now)
	return float64(rc.sum) / rateSpan.Seconds()
}
