package packer

import "math"

const (
	// bins is the number of histogram bins of the ratio of output to hint, on a logarithmic scale from 2^minLog to
	// 2^maxLog.
	bins        = 48
	minLog      = -3.0
	maxLog      = 3.0
	binsPerStep = bins / (maxLog - minLog)
	// priorWeight is the number of completed runs that the prior counts for.
	priorWeight = 12.0
	// priorSpread is the standard deviation of the logarithm of the ratio in the prior: its median is a correct hint,
	// with large errors in both directions.
	priorSpread = 0.5
	// decayRuns is the number of completed runs after which older ones have lost most of their weight.
	decayRuns = 400.0
)

// Ratios is a histogram of the ratios of output to hinted output of completed runs. It is not safe for concurrent use.
type Ratios struct {
	weights [bins]float64
	above   [bins + 1]float64
}

// NewRatios returns the prior, a log-normal distribution with median 1.
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

// Add adds the ratio of a completed run, and reduces the weight of older ones.
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
	x := binPosition(ratio)
	i := int(x)
	if i >= bins {
		return 0
	}
	part := x - float64(i)
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
