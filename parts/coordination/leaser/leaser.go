// Package leaser decides when a host may give orders that only one host may give at a time.
//
// The holder of a duty is whoever last appended a record for it to a log, under the condition that nothing was appended
// since it looked; the record's offset is the fencing token of its orders. The token is good for a lease from the moment
// before the append. Another host waits until it has seen the same record unchanged for Wait, in which the last order
// under the older token has arrived and a whole lease has passed since. No clock is compared with another host's.
package leaser

import "time"

// Config holds the times of a lease.
type Config struct {
	// Lease is how long a token is good, and the least time between orders of two holders.
	Lease time.Duration
	// Margin is how much sooner a holder stops: an order takes time to arrive.
	Margin time.Duration
}

// Wait is how long a record of another holder must have stood unchanged.
func (c Config) Wait() time.Duration { return 2*c.Lease + c.Margin }

// Record is the newest record of a duty.
type Record struct {
	Holder string
	Offset uint64
}

// Watch remembers when each record was first seen. It is not safe for concurrent use.
type Watch struct {
	cfg  Config
	seen map[string]sighting
	// returned is when the log was found to have lost records.
	returned time.Time
}

type sighting struct {
	Record
	at time.Time
}

// NewWatch returns a Watch that has seen nothing.
func NewWatch(cfg Config) *Watch { return &Watch{cfg: cfg, seen: make(map[string]sighting)} }

// Seen takes the newest record of a duty.
func (w *Watch) Seen(now time.Time, duty string, r Record) {
	if old, ok := w.seen[duty]; ok && old.Record == r {
		return
	}
	w.seen[duty] = sighting{Record: r, at: now}
}

// Returned takes in that the log has lost records that it had acknowledged. Any host may hold a token whose record is
// gone, so that nobody takes a duty until each such token has ended.
func (w *Watch) Returned(now time.Time) {
	clear(w.seen)
	w.returned = now
}

// Holder returns the holder of a duty as last seen.
func (w *Watch) Holder(duty string) string { return w.seen[duty].Holder }

// MayTake tells whether holder may append a record of its own for a duty.
func (w *Watch) MayTake(now time.Time, duty, holder string) bool {
	if !w.returned.IsZero() && now.Sub(w.returned) < w.cfg.Wait() {
		return false
	}
	s, ok := w.seen[duty]
	return !ok || s.Holder == holder || now.Sub(s.at) >= w.cfg.Wait()
}

// Token is the right to give orders for a while.
type Token struct {
	Fence uint64
	until time.Time
	// wall is the time of day at the start: unlike the steady clock it counts the time that the host stood still.
	wall time.Time
	good time.Duration
}

// NewToken returns the token of an append that began at start and got offset as its fence.
func (c Config) NewToken(start time.Time, offset uint64) Token {
	good := c.Lease - c.Margin
	return Token{Fence: offset, until: start.Add(good), wall: start.Round(0), good: good}
}

// IsGood tells whether an order may be sent at now.
func (t Token) IsGood(now time.Time) bool {
	return now.Before(t.until) && now.Round(0).Sub(t.wall) < t.good
}
