package queuer

import "time"

// windowSize is the number of events from which the rate is computed.
const windowSize = 12

// RateEstimator estimates the rate of events from the latest ones. It is not safe for concurrent use.
type RateEstimator struct {
	times []time.Time
}

// Record adds an event.
func (e *RateEstimator) Record(now time.Time) {
	e.times = append(e.times, now)
	if len(e.times) > windowSize {
		e.times = e.times[1:]
	}
}

// TimeFor returns the predicted time until n more events have occurred, false if too few were recorded.
func (e *RateEstimator) TimeFor(now time.Time, n int) (time.Duration, bool) {
	if len(e.times) < windowSize {
		return 0, false
	}
	elapsed := now.Sub(e.times[0])
	if elapsed <= 0 {
		return 0, false
	}
	return time.Duration(float64(n) * float64(elapsed) / float64(len(e.times))), true
}

// Rate returns the events per second, 0 if too few were recorded.
func (e *RateEstimator) Rate(now time.Time) float64 {
	wait, ok := e.TimeFor(now, 1)
	if !ok {
		return 0
	}
	return 1 / wait.Seconds()
}
