// Package stager decides how many model engines read prompts and how many generate.
//
// The split that a deployment starts with fits no load but one. Memory of the generating engines binds in a burst while
// reading engines idle, or the other way round after failures. The stager compares what each split can serve in a
// second, from measured times, and moves engines towards the best one.
package stager

import "time"

const (
	// gain is how much more a split must serve to be worth a switch, in which an engine serves nobody.
	gain = 1.15
	// readerUse is the part of their time that reading engines can be busy before prompts queue for long.
	readerUse = 0.95
	// rest is the number of switch times between two orders.
	rest = 1.5
	// retry is how long after an order that could not be given another is tried.
	retry = time.Second
	// spared is the number of engines from which on two of them must read: one may fail.
	spared = 5
	// leastSamples is the number of prompts read and of generations ended that make a measurement.
	leastSamples = 6
)

// Load is what was measured. Times are of one engine.
type Load struct {
	// Readers and Generators are the engines of each stage, those counted that are on their way to it.
	Readers    int
	Generators int
	// FailingReaders and FailingGenerators are those among them that may be gone.
	FailingReaders    int
	FailingGenerators int
	// ReadTime is how long an engine reads a prompt.
	ReadTime time.Duration
	// RunTime is how long a generation runs, and Fit is how many of them an engine has room for.
	RunTime time.Duration
	Fit     int
	// Read and Ended are the numbers of measured prompts and generations.
	Read  int
	Ended int
}

// IsMeasured tells whether enough was measured to go by.
func (l Load) IsMeasured() bool {
	return l.Read >= leastSamples && l.Ended >= leastSamples && l.ReadTime > 0 && l.RunTime > 0 && l.Fit > 0
}

// Rate returns the generations that readers reading engines and the rest can serve in a second.
func (l Load) Rate(readers int) float64 {
	generators := l.Readers + l.Generators - readers
	if readers <= 0 || generators <= 0 {
		return 0
	}
	return min(readerUse*float64(readers)/l.ReadTime.Seconds(), l.run(generators))
}

// run returns the generations that generators engines can run in a second.
func (l Load) run(generators int) float64 { return float64(generators*l.Fit) / l.RunTime.Seconds() }

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
	next time.Time
}

// Decide returns the move to make at now, and how many engines make it.
func (s *Stager) Decide(now time.Time, l Load) (Move, int) {
	if now.Before(s.next) {
		return Stay, 0
	}
	all := l.Readers + l.Generators
	least := 1
	if all >= spared {
		least = 2
	}
	if l.Readers < least && l.Generators > 1 {
		return ToPrefill, 1
	}
	if !l.IsMeasured() {
		return Stay, 0
	}
	// Engines that crashed are listed for seconds beside those that started in their place.
	move, n := l.choose(least)
	if l.FailingReaders+l.FailingGenerators == 0 {
		return move, n
	}
	if sure, atMost := l.sure().choose(least); sure == move {
		return move, min(n, atMost)
	}
	return Stay, 0
}

// sure returns the load of the engines that are not failing.
func (l Load) sure() Load {
	l.Readers -= l.FailingReaders
	l.Generators -= l.FailingGenerators
	return l
}

// choose returns the move towards the best split, and how many engines make it.
func (l Load) choose(least int) (Move, int) {
	wanted := l.best(least)
	switch {
	case l.Rate(wanted) <= gain*l.Rate(l.Readers):
		return Stay, 0
	case wanted < l.Readers:
		return ToDecode, l.Readers - wanted
	}
	return ToPrefill, l.unmissed(wanted - l.Readers)
}

// unmissed returns how many of up to most generators can stop at once, one at least, while the others run what is read at
// present.
func (l Load) unmissed(most int) int {
	n := most
	for n > 1 && l.run(l.Generators-n) < l.Rate(l.Readers) {
		n--
	}
	return n
}

// best returns the number of readers, least or more, that serves most.
func (l Load) best(least int) int {
	wanted := l.Readers
	for n := least; n < l.Readers+l.Generators; n++ {
		if l.Rate(n) > l.Rate(wanted) {
			wanted = n
		}
	}
	return wanted
}

// Ordered notes an order to an engine that takes switching to change its stage.
func (s *Stager) Ordered(now time.Time, switching time.Duration) {
	s.next = now.Add(time.Duration(rest * float64(switching)))
}

// NotOrdered notes an order that could not be given.
func (s *Stager) NotOrdered(now time.Time) { s.next = now.Add(retry) }
