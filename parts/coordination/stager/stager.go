// Package stager decides how many model engines work in the prefill stage and how many in the decode stage.
//
// A fixed split between the stages fits only one kind of load: in a burst the memory of the decode engines can be the
// bottleneck while prefill engines are idle, and the reverse after failures. The stager computes the throughput of each
// split from measured times, and moves engines towards the best one.
package stager

import "time"

const (
	// minGain is the factor by which a split must improve the throughput to justify a change, during which the engine
	// serves no requests.
	minGain = 1.15
	// maxPrefillUtilisation is the utilisation of prefill engines above which prompts queue for long.
	maxPrefillUtilisation = 0.95
	// cooldownFactor is the pause between two orders, as a multiple of the time that a change takes.
	cooldownFactor = 1.5
	// retryDelay is the pause after an order that could not be delivered.
	retryDelay = time.Second
	// redundancyThreshold is the number of engines from which on at least two must be in the prefill stage, as one may
	// fail.
	redundancyThreshold = 5
	// minSamples is the number of completed prefills, and of completed runs, needed for a valid measurement.
	minSamples = 6
)

// Load is the measured load. Times are per engine.
type Load struct {
	// PrefillEngines and DecodeEngines are the numbers of engines in each stage, including those that are changing to it.
	PrefillEngines int
	DecodeEngines  int
	// FailingPrefillEngines and FailingDecodeEngines are the numbers of those that may have crashed.
	FailingPrefillEngines int
	FailingDecodeEngines  int
	// PrefillTime is the time of one prefill.
	PrefillTime time.Duration
	// RunTime is the duration of a run in the decode stage, and RunsPerEngine the number of runs an engine has room for.
	RunTime       time.Duration
	RunsPerEngine int
	// PrefillSamples and RunSamples are the numbers of completed prefills and runs that were measured.
	PrefillSamples int
	RunSamples     int
}

// IsMeasured reports whether there are enough samples for a decision.
func (l Load) IsMeasured() bool {
	return l.PrefillSamples >= minSamples && l.RunSamples >= minSamples && l.PrefillTime > 0 && l.RunTime > 0 && l.RunsPerEngine > 0
}

// Throughput returns the requests per second with prefill engines in the prefill stage and the rest in the decode stage.
func (l Load) Throughput(prefill int) float64 {
	decode := l.PrefillEngines + l.DecodeEngines - prefill
	if prefill <= 0 || decode <= 0 {
		return 0
	}
	return min(maxPrefillUtilisation*float64(prefill)/l.PrefillTime.Seconds(), l.decodeThroughput(decode))
}

// PrefillRate and DecodeRate return the requests per second of one engine of the stage.
func (l Load) PrefillRate() float64 { return maxPrefillUtilisation / l.PrefillTime.Seconds() }

// DecodeRate is described at PrefillRate.
func (l Load) DecodeRate() float64 { return l.decodeThroughput(1) }

// decodeThroughput returns the runs per second that the given number of decode engines completes.
func (l Load) decodeThroughput(decode int) float64 {
	return float64(decode*l.RunsPerEngine) / l.RunTime.Seconds()
}

// Move is an order to an engine to change its stage.
type Move uint8

// The moves are named for the stage that an engine changes to.
const (
	Stay Move = iota
	ToDecode
	ToPrefill
)

// Stager decides on moves, with a cooldown after each order. It is not safe for concurrent use.
type Stager struct {
	notBefore time.Time
}

// Decide returns the move to make at now, and the number of engines to move.
func (s *Stager) Decide(now time.Time, l Load) (Move, int) {
	if now.Before(s.notBefore) {
		return Stay, 0
	}
	all := l.PrefillEngines + l.DecodeEngines
	minimum := 1
	if all >= redundancyThreshold {
		minimum = 2
	}
	if l.PrefillEngines < minimum && l.DecodeEngines > 1 {
		return ToPrefill, 1
	}
	if !l.IsMeasured() {
		return Stay, 0
	}
	// Crashed engines are still listed for seconds beside their replacements, so a move must also be right without them.
	move, n := l.chooseMove(minimum)
	if l.FailingPrefillEngines+l.FailingDecodeEngines == 0 {
		return move, n
	}
	if healthyMove, atMost := l.healthy().chooseMove(minimum); healthyMove == move {
		return move, min(n, atMost)
	}
	return Stay, 0
}

// healthy returns the load without the failing engines.
func (l Load) healthy() Load {
	l.PrefillEngines -= l.FailingPrefillEngines
	l.DecodeEngines -= l.FailingDecodeEngines
	return l
}

// chooseMove returns the move towards the best split, and the number of engines to move.
func (l Load) chooseMove(minimum int) (Move, int) {
	best := l.bestSplit(minimum)
	switch {
	case l.Throughput(best) <= minGain*l.Throughput(l.PrefillEngines):
		return Stay, 0
	case best < l.PrefillEngines:
		return ToDecode, l.PrefillEngines - best
	}
	return ToPrefill, l.maxAtOnce(best - l.PrefillEngines)
}

// maxAtOnce returns how many decode engines, from one up to limit, can change at once while the others sustain the present
// throughput.
func (l Load) maxAtOnce(limit int) int {
	n := limit
	for n > 1 && l.decodeThroughput(l.DecodeEngines-n) < l.Throughput(l.PrefillEngines) {
		n--
	}
	return n
}

// bestSplit returns the number of prefill engines with the highest throughput, at least minimum.
func (l Load) bestSplit(minimum int) int {
	best := l.PrefillEngines
	for n := minimum; n < l.PrefillEngines+l.DecodeEngines; n++ {
		if l.Throughput(n) > l.Throughput(best) {
			best = n
		}
	}
	return best
}

// RecordMove records an order to engines that take switchTime to change their stage.
func (s *Stager) RecordMove(now time.Time, switchTime time.Duration) {
	s.notBefore = now.Add(time.Duration(cooldownFactor * float64(switchTime)))
}

// RecordMoveFailure records an order that could not be delivered.
func (s *Stager) RecordMoveFailure(now time.Time) { s.notBefore = now.Add(retryDelay) }
