package queuer

import "time"

// windowSize is the number of events from which the rate is computed.
const windowSize = 12

// RateEstimator estimates the rate of events from the latest ones. It is not safe for concurrent use.
type RateEstimator struct {
	times []time.Time
}

// Record adds an event.
func (re *RateEstimator) Record(now time.Time) {
	re.times = append(re.times, now)
	if len(re.times) > windowSize {
		re.times = re.times[1:]
	}
}

// TimeFor returns the predicted time until n more events have occurred, false if too few were recorded.
func (re *RateEstimator) TimeFor(now time.Time, n int) (time.Duration, bool) {
	if len(re.times) < windowSize {
		return 0, false
	}
	elapsed := now.Sub(re.times[0])
	if elapsed <= 0 {
		return 0, false
	}
	return time.Duration(float64(n) * float64(elapsed) / float64(len(re.times))), true
}

// Rate returns the events per second, 0 if too few were recorded.
func (re *RateEstimator) Rate(now time.Time) float64 {
	wait, ok := re.TimeFor(now, 1)
	if !ok {
		return 0
	}
	return 1 / wait.Seconds()
}
