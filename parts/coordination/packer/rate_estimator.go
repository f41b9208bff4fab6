package packer

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of old measurements.
	decayTime = 20 * time.Second
	// minVariance is the smallest variance of the number of runs at which the slope of the regression is used.
	minVariance = 0.5
)

// RateEstimator fits the time per token as a linear function of the number of concurrent runs. It predicts the speed of
// full engines from measurements of nearly idle ones. It is not safe for concurrent use.
type RateEstimator struct {
	updatedAt time.Time
	// Weighted sums for the regression: of 1, of the runs, of the seconds per token, of the squared runs, and of runs times
	// seconds.
	weights, runs, times, squares, products float64
}

// Record adds a measurement: the time that an engine with the given number of runs took for tokens of one of them.
func (re *RateEstimator) Record(now time.Time, runs, tokens int, took time.Duration) {
	if runs <= 0 || tokens <= 0 || took <= 0 {
		return
	}
	if !re.updatedAt.IsZero() {
		re.decay(math.Exp(-now.Sub(re.updatedAt).Seconds() / decayTime.Seconds()))
	}
	re.updatedAt = now
	x, y := float64(runs), took.Seconds()/float64(tokens)
	re.weights++
	re.runs += x
	re.times += y
	re.squares += x * x
	re.products += x * y
}

func (re *RateEstimator) decay(factor float64) {
	re.weights *= factor
	re.runs *= factor
	re.times *= factor
	re.squares *= factor
	re.products *= factor
}

// Rate returns the tokens per second of each run if an engine has the given number of runs, 0 without measurements.
func (re *RateEstimator) Rate(runs int) float64 {
	if re.weights == 0 || re.times <= 0 {
		return 0
	}
	meanRuns, meanTime := re.runs/re.weights, re.times/re.weights
	slope := 0.0
	if variance := re.squares/re.weights - meanRuns*meanRuns; variance >= minVariance {
		slope = max(0, (re.products/re.weights-meanRuns*meanTime)/variance)
	}
	slope = min(slope, meanTime/meanRuns) // keeps the time per token positive down to 0 runs
	return 1 / (meanTime + slope*(float64(runs)-meanRuns))
}
