// Package throttler keeps the requests that all hosts together send to an endpoint within the rate that it accepts.
package throttler

import "time"

// Limit is what an endpoint has last stated about the rate of requests that it accepts from all hosts together. The zero
// value is that of an endpoint that has stated nothing.
type Limit struct {
	// IsSet is false for an endpoint that has withdrawn its limit or never stated one.
	IsSet bool
	// PerSecond is the number of requests per second, 0 for none at all.
	PerSecond float64
	// ObservedAt is the time of the statement.
	ObservedAt time.Time
}

// Answer returns the limit after an endpoint's answer that carries next, to a request sent at sentAt. Answers can overtake
// each other: one without a limit withdraws an earlier limit only if its request was sent after the limit was observed.
func (l Limit) Answer(next Limit, sentAt time.Time) Limit {
	if next.IsSet || (l.IsSet && sentAt.After(l.ObservedAt)) {
		return l.Merge(next)
	}
	return l
}

// Merge returns the newer of two observations.
func (l Limit) Merge(other Limit) Limit {
	if other.ObservedAt.After(l.ObservedAt) {
		return other
	}
	return l
}

// IsSame reports whether two limits allow the same, whenever they were observed.
func (l Limit) IsSame(other Limit) bool {
	return l.IsSet == other.IsSet && (!l.IsSet || l.PerSecond == other.PerSecond)
}
