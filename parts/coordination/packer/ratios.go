package packer

import "math"

const (
	// bins of the ratio of output to hint, on a logarithmic scale from 2^-lowest to 2^highest.
	bins        = 48
	minLog      = -3.0
	maxLog      = 3.0
	binsPerStep = bins / (maxLog - minLog)
	// priorWeight is the number of finished runs that the first guess counts for.
	priorWeight = 12.0
	// priorSpread is the standard deviation of the logarithm of the ratio in the first guess: a hint that is right at
	// the median and often far off.
	priorSpread = 0.5
	// memory is the number of finished runs after which old ones have lost most of their weight.
	decayRuns = 400.0
)

// Ratios is the distribution of output to hinted output, learned from finished runs. It is not safe for concurrent use.
type Ratios struct {
	weights [bins]float64
	above   [bins + 1]float64
}

// NewRatios returns the first guess.
func NewRatios() *Ratios {
	r := &Ratios{}
	total := 0.0
	for i := range r.weights {
		x := (minLog + (float64(i)+0.5)/binsPerStep) * math.Ln2 / priorSpread
		r.weights[i] = math.Exp(-x * x / 2)
		total += r.weights[i]
	}
	for i := range r.weights {
		r.weights[i] *= priorWeight / total
	}
	r.updateAbove()
	return r
}

func binPosition(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return min(max((math.Log2(ratio)-minLog)*binsPerStep, 0), bins)
}

// Learn takes the ratio of a finished run.
func (r *Ratios) Add(ratio float64) {
	for i := range r.weights {
		r.weights[i] *= 1 - 1/decayRuns
	}
	r.weights[min(int(binPosition(ratio)), bins-1)]++
	r.updateAbove()
}

func (r *Ratios) updateAbove() {
	r.above[bins] = 0
	for i := bins - 1; i >= 0; i-- {
		r.above[i] = r.above[i+1] + r.weights[i]
	}
}

// Survival returns the share of runs whose ratio is above ratio.
func (r *Ratios) Survival(ratio float64) float64 {
	at := binPosition(ratio)
	i := int(at)
	if i >= bins {
		return 0
	}
	part := at - float64(i)
	return (r.above[i]*(1-part) + r.above[i+1]*part) / r.above[0]
}

// Mean returns the mean ratio.
func (r *Ratios) Mean() float64 {
	sum := 0.0
	for i, w := range r.weights {
		sum += w * math.Exp2(minLog+(float64(i)+0.5)/binsPerStep)
	}
	return sum / r.above[0]
}
