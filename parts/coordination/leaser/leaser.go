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
func (c Config) TakeoverDelay() time.Duration { return 2*c.Lease + c.Margin }

// Record is the newest record of a duty.
type Record struct {
	Holder string
	Offset uint64
}

// Watch remembers when each record was first seen. It is not safe for concurrent use.
type Observer struct {
	cfg      Config
	observed map[string]observation
	// returned is when the log was found to have lost records.
	lostAt time.Time
}

type observation struct {
	Record
	at time.Time
}

// NewWatch returns a Watch that has seen nothing.
func NewObserver(cfg Config) *Observer {
	return &Observer{cfg: cfg, observed: make(map[string]observation)}
}

// Seen takes the newest record of a duty.
func (w *Observer) Observe(now time.Time, duty string, r Record) {
	if old, ok := w.observed[duty]; ok && old.Record == r {
		return
	}
	w.observed[duty] = observation{Record: r, at: now}
}

// Returned takes in that the log has lost records that it had acknowledged. Any host may hold a token whose record is
// gone, so that nobody takes a duty until each such token has ended.
func (w *Observer) RecordsLost(now time.Time) {
	clear(w.observed)
	w.lostAt = now
}

// Holder returns the holder of a duty as last seen.
func (w *Observer) Holder(duty string) string { return w.observed[duty].Holder }

// MayTake tells whether holder may append a record of its own for a duty.
func (w *Observer) MayAcquire(now time.Time, duty, holder string) bool {
	if !w.lostAt.IsZero() && now.Sub(w.lostAt) < w.cfg.TakeoverDelay() {
		return false
	}
	s, ok := w.observed[duty]
	return !ok || s.Holder == holder || now.Sub(s.at) >= w.cfg.TakeoverDelay()
}

// Token is the right to give orders for a while.
type Token struct {
	Fence uint64
	until time.Time
	// wall is the time of day at the start: unlike the steady clock it counts the time that the host stood still.
	wallStart time.Time
	validity  time.Duration
}

// NewToken returns the token of an append that began at start and got offset as its fence.
func (c Config) NewToken(start time.Time, offset uint64) Token {
	good := c.Lease - c.Margin
	return Token{Fence: offset, until: start.Add(good), wallStart: start.Round(0), validity: good}
}

// IsGood tells whether an order may be sent at now.
func (t Token) IsValid(now time.Time) bool {
	return now.Before(t.until) && now.Round(0).Sub(t.wallStart) < t.validity
}
