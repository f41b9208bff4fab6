// Package stager decides how many model engines read prompts and how many generate.
//
// The split that a deployment starts with fits no load but one. Memory of the generating engines binds in a burst while
// reading engines idle, or the other way round after failures. The stager compares what each split can serve in a
// second, from measured times, and moves engines towards the best one.
package stager

import "time"

const (
	// gain is how much more a split must serve to be worth a switch, in which an engine serves nobody.
	minGain = 1.15
	// readerUse is the part of their time that reading engines can be busy before prompts queue for long.
	maxPrefillUtilisation = 0.95
	// rest is the number of switch times between two orders.
	cooldownFactor = 1.5
	// retry is how long after an order that could not be given another is tried.
	retryDelay = time.Second
	// spared is the number of engines from which on two of them must read: one may fail.
	redundancyThreshold = 5
	// leastSamples is the number of prompts read and of generations ended that make a measurement.
	minSamples = 6
)

// Load is what was measured. Times are of one engine.
type Load struct {
	// Readers and Generators are the engines of each stage, those counted that are on their way to it.
	PrefillEngines int
	DecodeEngines  int
	// FailingReaders and FailingGenerators are those among them that may be gone.
	FailingPrefillEngines int
	FailingDecodeEngines  int
	// ReadTime is how long an engine reads a prompt.
	PrefillTime time.Duration
	// RunTime is how long a generation runs, and Fit is how many of them an engine has room for.
	RunTime       time.Duration
	RunsPerEngine int
	// Read and Ended are the numbers of measured prompts and generations.
	PrefillSamples int
	RunSamples     int
}

// IsMeasured tells whether enough was measured to go by.
func (l Load) IsMeasured() bool {
	return l.PrefillSamples >= minSamples && l.RunSamples >= minSamples && l.PrefillTime > 0 && l.RunTime > 0 && l.RunsPerEngine > 0
}

// Rate returns the generations that readers reading engines and the rest can serve in a second.
func (l Load) Throughput(readers int) float64 {
	generators := l.PrefillEngines + l.DecodeEngines - readers
	if readers <= 0 || generators <= 0 {
		return 0
	}
	return min(maxPrefillUtilisation*float64(readers)/l.PrefillTime.Seconds(), l.decodeThroughput(generators))
}

// run returns the generations that generators engines can run in a second.
func (l Load) decodeThroughput(generators int) float64 {
	return float64(generators*l.RunsPerEngine) / l.RunTime.Seconds()
}

// Move is an order to one engine.
type Move uint8

// The moves.
const (
	Stay Move = iota
	ToDecode
	ToPrefill
)

// Stager remembers its last order. It is not safe for concurrent use.
type Stager struct {
	notBefore time.Time
}

// Decide returns the move to make at now, and how many engines make it.
func (s *Stager) Decide(now time.Time, l Load) (Move, int) {
	if now.Before(s.notBefore) {
		return Stay, 0
	}
	all := l.PrefillEngines + l.DecodeEngines
	least := 1
	if all >= redundancyThreshold {
		least = 2
	}
	if l.PrefillEngines < least && l.DecodeEngines > 1 {
		return ToPrefill, 1
	}
	if !l.IsMeasured() {
		return Stay, 0
	}
	// Engines that crashed are listed for seconds beside those that started in their place.
	move, n := l.chooseMove(least)
	if l.FailingPrefillEngines+l.FailingDecodeEngines == 0 {
		return move, n
	}
	if sure, atMost := l.healthy().chooseMove(least); sure == move {
		return move, min(n, atMost)
	}
	return Stay, 0
}

// sure returns the load of the engines that are not failing.
func (l Load) healthy() Load {
	l.PrefillEngines -= l.FailingPrefillEngines
	l.DecodeEngines -= l.FailingDecodeEngines
	return l
}

// choose returns the move towards the best split, and how many engines make it.
func (l Load) chooseMove(least int) (Move, int) {
	wanted := l.bestSplit(least)
	switch {
	case l.Throughput(wanted) <= minGain*l.Throughput(l.PrefillEngines):
		return Stay, 0
	case wanted < l.PrefillEngines:
		return ToDecode, l.PrefillEngines - wanted
	}
	return ToPrefill, l.maxAtOnce(wanted - l.PrefillEngines)
}

// unmissed returns how many of up to most generators can stop at once, one at least, while the others run what is read at
// present.
func (l Load) maxAtOnce(most int) int {
	n := most
	for n > 1 && l.decodeThroughput(l.DecodeEngines-n) < l.Throughput(l.PrefillEngines) {
		n--
	}
	return n
}

// best returns the number of readers, least or more, that serves most.
func (l Load) bestSplit(least int) int {
	wanted := l.PrefillEngines
	for n := least; n < l.PrefillEngines+l.DecodeEngines; n++ {
		if l.Throughput(n) > l.Throughput(wanted) {
			wanted = n
		}
	}
	return wanted
}

// Ordered notes an order to an engine that takes switching to change its stage.
func (s *Stager) RecordMove(now time.Time, switching time.Duration) {
	s.notBefore = now.Add(time.Duration(cooldownFactor * float64(switching)))
}

// NotOrdered notes an order that could not be given.
func (s *Stager) RecordMoveFailure(now time.Time) { s.notBefore = now.Add(retryDelay) }
