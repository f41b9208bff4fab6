// Package drainer decides which requests a host takes while it shuts down, and when it ends.
//
// A stop owes each request that the host has read one complete answer: that of an endpoint, or a refusal before anything was
// sent. So a request is taken only if it ends in time, or as long as there is enough time for any usual one.
package drainer

import "time"

// LifetimeFraction is the longest lifetime of the host's address with callers, as a fraction of the grace time. Some callers keep it
// three times as long.
const LifetimeFraction = 0.25

// Times of a stop, as fractions of the grace time.
const (
	// anyFraction is the time until which requests of any duration are taken.
	anyFraction = 0.35
	// takeFraction is the time until which requests are taken at all. Callers have other addresses by then.
	takeFraction = 3 * LifetimeFraction
	// answerFraction is the latest deadline of a request that is taken after anyFraction.
	answerFraction = 0.9
	// abortFraction is when the requests in flight are ended.
	abortFraction = 0.92
	// closeFraction is when connections are closed at the latest.
	closeFraction = 0.95
	// endFraction is when the last wait ends. The rest of the grace time is for the end of a process that gets little processor time.
	endFraction = 0.97
)

// Schedule holds the times of a stop.
type Schedule struct {
	begin time.Time
	grace time.Duration
}

// New returns the Schedule of a stop that began at begin and must be over after the grace time.
func New(begin time.Time, grace time.Duration) Schedule { return Schedule{begin: begin, grace: grace} }

func (s Schedule) at(fraction float64) time.Time {
	return s.begin.Add(time.Duration(fraction * float64(s.grace)))
}

// Takes reports whether a request that arrives at now and expires at expires is taken.
func (s Schedule) Takes(now, expires time.Time) bool {
	if now.Before(s.at(anyFraction)) {
		return true
	}
	return now.Before(s.TakeUntil()) && !expires.After(s.at(answerFraction))
}

// TakeUntil returns when the host stops to take requests. It may end as soon as those taken have their answers.
func (s Schedule) TakeUntil() time.Time { return s.at(takeFraction) }

// AbortAt returns when the host ends the requests in flight.
func (s Schedule) AbortAt() time.Time { return s.at(abortFraction) }

// CloseAt returns when the host closes all connections.
func (s Schedule) CloseAt() time.Time { return s.at(closeFraction) }

// EndAt returns when the last wait ends, such as that for log lines to be written.
func (s Schedule) EndAt() time.Time { return s.at(endFraction) }

// Left returns the time at now until requests in flight are ended.
func (s Schedule) Left(now time.Time) time.Duration { return s.AbortAt().Sub(now) }
