// Package leaser decides when a host may send orders that only one host may send at a time.
//
// The holder of a resource is the host that last appended a record for it to a log, on the condition that nothing was
// appended since its last read. The offset of the record is the fencing token of the holder's orders. The token is valid
// for one lease from just before the append. Another host waits until it has observed the same record unchanged for
// TakeoverDelay, by which time the last order under the older token has arrived and a whole lease has passed since.
// Clocks of different hosts are never compared.
package leaser

import "time"

// Config holds the durations of a lease.
type Config struct {
	// Lease is the lifetime of a token including Margin, and the least time between orders of two holders.
	Lease time.Duration
	// Margin is how much earlier a holder stops sending, because an order takes time to arrive.
	Margin time.Duration
}

// TakeoverDelay is how long a record of another holder must have been unchanged before a takeover.
func (c Config) TakeoverDelay() time.Duration { return 2*c.Lease + c.Margin }

// Record is the newest record of a resource in the log.
type Record struct {
	Holder string
	Offset uint64
}

// Observer tracks since when each record has been unchanged. It is not safe for concurrent use.
type Observer struct {
	cfg      Config
	observed map[string]observation
	// lostAt is when the log was found to have lost records.
	lostAt time.Time
}

type observation struct {
	Record
	at time.Time
}

// NewObserver returns an Observer without records, by which any host may acquire any resource.
func NewObserver(cfg Config) *Observer {
	return &Observer{cfg: cfg, observed: make(map[string]observation)}
}

// Observe records the newest record of a resource as read at now.
func (o *Observer) Observe(now time.Time, resource string, r Record) {
	if old, ok := o.observed[resource]; ok && old.Record == r {
		return
	}
	o.observed[resource] = observation{Record: r, at: now}
}

// RecordsLost records that the log has lost acknowledged records. Any host may hold a token whose record is lost, so no
// resource may be acquired until all such tokens have expired.
func (o *Observer) RecordsLost(now time.Time) {
	clear(o.observed)
	o.lostAt = now
}

// Holder returns the last observed holder of a resource, "" if there is none.
func (o *Observer) Holder(resource string) string { return o.observed[resource].Holder }

// MayAcquire reports whether holder may append a record of its own for a resource.
func (o *Observer) MayAcquire(now time.Time, resource, holder string) bool {
	if !o.lostAt.IsZero() && now.Sub(o.lostAt) < o.cfg.TakeoverDelay() {
		return false
	}
	s, ok := o.observed[resource]
	return !ok || s.Holder == holder || now.Sub(s.at) >= o.cfg.TakeoverDelay()
}

// Token is the right to send orders for a limited time. Fence is the fencing token that goes with each order.
type Token struct {
	Fence uint64
	until time.Time
	// wallStart is the start by the wall clock, which unlike the monotonic clock advances while the host is suspended.
	wallStart time.Time
	validity  time.Duration
}

// NewToken returns the token of an append that began at start and was assigned offset.
func (c Config) NewToken(start time.Time, offset uint64) Token {
	validity := c.Lease - c.Margin
	return Token{Fence: offset, until: start.Add(validity), wallStart: start.Round(0), validity: validity}
}

// IsValid reports whether an order may be sent at now, by both the monotonic and the wall clock.
func (t Token) IsValid(now time.Time) bool {
	return now.Before(t.until) && now.Round(0).Sub(t.wallStart) < t.validity
}
