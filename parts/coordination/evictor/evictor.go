// Package evictor selects which of the requests being received gives way to others when connections or memory run out.
package evictor

import (
	"cmp"
	"iter"
	"time"
)

const (
	// Grace is how long a new connection is protected, and how long a request may pause before it counts as stalled. A pause of one
	// retransmission, 200 ms, is shorter.
	Grace = 250 * time.Millisecond
	// MinBytesPerSecond is the rate below which a request makes no progress. A caller that sends a byte at a time stays below it.
	MinBytesPerSecond = 1024
)

// Phase is the part of its life that a connection is in.
type Phase int

// Phases of a connection.
const (
	// Idle connections have sent nothing of a request.
	Idle Phase = iota
	// Receiving connections have sent a part of a request.
	Receiving
	// Received connections have sent a whole request and wait for its answer.
	Received
	// Ended connections have their last answer and are open only until their caller has read it.
	Ended
)

// Progress tells how far a connection or a request has come.
type Progress struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// LastByte is when the last byte of the request arrived, and Bytes how many have arrived.
	LastByte time.Time
	Bytes    int64
}

// stalledFor returns how long a request that is being received has made no progress: its whole age if it is slow on average, otherwise
// the time since its last byte.
func (p Progress) stalledFor(now time.Time) time.Duration {
	if p.rate(now) < MinBytesPerSecond || p.LastByte.Before(p.Since) {
		return now.Sub(p.Since)
	}
	return now.Sub(p.LastByte)
}

// rate returns the average number of bytes a second. The age counts as Grace at least, because that of a shorter time says little.
func (p Progress) rate(now time.Time) float64 {
	return float64(p.Bytes) / max(now.Sub(p.Since), Grace).Seconds()
}

// isStalled reports whether a request that is being received makes no progress.
func (p Progress) isStalled(now time.Time) bool {
	return p.Phase == Receiving && now.Sub(p.Since) >= Grace && p.stalledFor(now) >= Grace
}

// group orders connections: those of a lower group are closed first.
type group int

const (
	ended group = iota
	idle
	stalled
	slow
	// young ones come last, as nothing is known of their progress.
	young
)

func (p Progress) group(now time.Time) group {
	switch {
	case p.Phase == Ended:
		return ended
	case now.Sub(p.Since) < Grace:
		return young
	case p.Phase == Idle:
		return idle
	case p.isStalled(now):
		return stalled
	default:
		return slow
	}
}

// compare returns a negative number if p makes less progress than q.
func compare(p, q Progress, now time.Time) int {
	group := p.group(now)
	if c := cmp.Compare(group, q.group(now)); c != 0 {
		return c
	}
	switch group {
	case stalled:
		return cmp.Compare(q.stalledFor(now), p.stalledFor(now))
	case slow:
		return cmp.Compare(p.rate(now), q.rate(now))
	default:
		return p.Since.Compare(q.Since)
	}
}

// Least returns the connection that makes the least progress: one that has ended, then the one that has been idle for longest, then the
// one that has been stalled for longest, then the one with the lowest rate, then the oldest of the young ones. It returns false if all
// have sent their requests.
func Least[K any](all iter.Seq2[K, Progress], now time.Time) (least K, ok bool) {
	var progress Progress
	for k, p := range all {
		if p.Phase != Received && (!ok || compare(p, progress, now) < 0) {
			least, progress, ok = k, p, true
		}
	}
	return least, ok
}

// LongestStalled returns the request that has been stalled for longest, false if none is stalled.
func LongestStalled[K any](all iter.Seq2[K, Progress], now time.Time) (K, bool) {
	return Least(func(yield func(K, Progress) bool) {
		for k, p := range all {
			if p.isStalled(now) && !yield(k, p) {
				return
			}
		}
	}, now)
}
