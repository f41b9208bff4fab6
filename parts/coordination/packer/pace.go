package packer

import (
	"math"
	"time"
)

const (
	// paceMemory is the time over which measurements of the pace lose most of their weight.
	decayTime = 20 * time.Second
	// leastSpread is the smallest variance of the numbers of runs from which their effect can be told.
	minVariance = 0.5
)

// Pace is how long an engine takes for one token of each run, as a line over the number of its runs: engines that are
// nearly idle tell what full ones will do. It is not safe for concurrent use.
type RateEstimator struct {
	updatedAt time.Time
	// sums of the weights, of the numbers of runs, of the seconds a token, and of their products.
	weights, runs, times, squares, products float64
}

// Measured takes in that an engine with some runs took a time for tokens of one of them.
func (p *RateEstimator) Record(now time.Time, runs, tokens int, took time.Duration) {
	if runs <= 0 || tokens <= 0 || took <= 0 {
		return
	}
	if !p.updatedAt.IsZero() {
		p.decay(math.Exp(-now.Sub(p.updatedAt).Seconds() / decayTime.Seconds()))
	}
	p.updatedAt = now
	x, y := float64(runs), took.Seconds()/float64(tokens)
	p.weights++
	p.runs += x
	p.times += y
	p.squares += x * x
	p.products += x * y
}

func (p *RateEstimator) decay(by float64) {
	p.weights *= by
	p.runs *= by
	p.times *= by
	p.squares *= by
	p.products *= by
}

// Rate returns the tokens a second that each of some runs makes, 0 if nothing was measured.
func (p *RateEstimator) Rate(runs int) float64 {
	if p.weights == 0 || p.times <= 0 {
		return 0
	}
	mean, usual := p.runs/p.weights, p.times/p.weights
	slope := 0.0
	if spread := p.squares/p.weights - mean*mean; spread >= minVariance {
		slope = max(0, (p.products/p.weights-mean*usual)/spread)
	}
	slope = min(slope, usual/mean) // no token comes without a run
	return 1 / (usual + slope*(float64(runs)-mean))
}
