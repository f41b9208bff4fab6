// Package delegator decides which hosts read the platform's log and which take what others have read.
//
// It answers fleets of hundreds of hosts that follow the same topics: one host of each data centre reads, the others ask
// it for changes. A host whose source fails, or knows only what is too old, reads the log itself at once, so that the
// bounds on what must be followed hold whatever becomes of the source. Who reads is a hint; nothing has to be agreed.
package delegator

import (
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
)

const (
	// cooldown is how long a source that failed is passed over.
	cooldown = 5 * time.Second
	// askedFor is how long a host goes on reading the log after others have asked it for changes. They ask several times
	// a second.
	followerTimeout = 3 * time.Second
	// firstRetry and lastRetry bound the time between two tries of a log that is out of reach. It doubles from one to the
	// other: hundreds of hosts that try would only add to an outage.
	minRetry = 4 * time.Second
	maxRetry = 16 * time.Second
	// maxLost is how many sources that do not reach the log are passed over at a time. If one more does not, the log is
	// most likely out of reach of all.
	maxDisconnected = 2
	// askedRetry is that time for a host that others ask: it tells them when the log is back.
	followedRetry = time.Second
)

// Host is a candidate for reading the log.
type Host struct {
	Name       string
	DataCentre string
	// Disconnected hosts do not reach the log.
	Disconnected bool
	// Power is the processor share.
	Power int
}

// Delegator is the choice of one host. It is not safe for concurrent use.
type Delegator struct {
	self      Host
	cooldowns map[string]time.Time
	// disconnected are those of the cooling that did not reach the log.
	disconnected map[string]bool
	lastRequest  time.Time
	// lost is set while the log is out of reach of this host; retryAt and retry are when it is tried next, and the time
	// after that.
	isLogLost bool
	retryAt   time.Time
	retry     time.Duration
}

// New returns the Delegator of a host.
func New(self Host) *Delegator {
	return &Delegator{self: self, cooldowns: make(map[string]time.Time), disconnected: make(map[string]bool)}
}

// Asked takes in that another host asks for changes.
func (d *Delegator) RecordRequest(now time.Time) { d.lastRequest = now }

// Failed takes in that a source did not answer, or knew only what is too old.
func (d *Delegator) RecordSourceFailure(now time.Time, source string) {
	d.cooldowns[source] = now.Add(cooldown)
}

// SourceLost takes in that a source does not reach the log. It returns false if too many others do not either: then the
// source is kept, and the log itself is tried after a while.
func (d *Delegator) RecordSourceOutage(now time.Time, source string) bool {
	if len(d.disconnected) >= maxDisconnected {
		if d.retryAt.IsZero() {
			d.retryAt = now.Add(minRetry)
		}
		return false
	}
	d.disconnected[source] = true
	d.RecordSourceFailure(now, source)
	return true
}

// Source returns the host to take changes from, "" for the log itself. A host that does not reach the log takes them from
// another one, if there is any.
func (d *Delegator) Source(now time.Time, hosts []Host) string {
	if d.HasFollowers(now) && !d.isLogLost {
		return ""
	}
	for name, until := range d.cooldowns {
		if !now.Before(until) {
			delete(d.cooldowns, name)
			delete(d.disconnected, name)
		}
	}
	source := ranker.Owner("log/"+d.self.DataCentre, d.candidates(hosts))
	if source == d.self.Name {
		return ""
	}
	return source
}

// IsAsked tells whether other hosts take changes from this one.
func (d *Delegator) HasFollowers(now time.Time) bool {
	return !d.lastRequest.IsZero() && now.Sub(d.lastRequest) < followerTimeout
}

// candidates returns the strong hosts that may read for this one. If none reaches the log, any of them may: it will tell
// when the log is back.
func (d *Delegator) candidates(hosts []Host) []string {
	var near []Host
	for _, h := range hosts {
		_, isCooling := d.cooldowns[h.Name]
		if h.DataCentre == d.self.DataCentre && !isCooling && (!d.isLogLost || h.Name != d.self.Name) {
			near = append(near, h)
		}
	}
	isDisconnected := func(h Host) bool { return h.Disconnected }
	if connected := slices.DeleteFunc(slices.Clone(near), isDisconnected); len(connected) > 0 {
		near = connected
	}
	var names []string
	for _, h := range ranker.FilterByCPU(near, func(h Host) int { return h.Power }) {
		names = append(names, h.Name)
	}
	return names
}

// Lost takes in that the log did not answer this host.
func (d *Delegator) RecordLogFailure(now time.Time) {
	d.isLogLost = true
	most := maxRetry
	if d.HasFollowers(now) {
		most = followedRetry
	}
	d.retry = min(max(2*d.retry, minRetry), most)
	d.retryAt = now.Add(d.retry)
}

// Reached takes in that the log answers.
func (d *Delegator) RecordLogSuccess() { d.isLogLost, d.retry, d.retryAt = false, 0, time.Time{} }

// MayTry tells whether the log is worth a try by a host that has a source: not while it is thought to be out of reach.
func (d *Delegator) MayReadLog(now time.Time) bool { return !now.Before(d.retryAt) }

// IsProbeDue tells whether the log, which was out of reach, is to be tried again.
func (d *Delegator) IsProbeDue(now time.Time) bool { return d.isLogLost && !now.Before(d.retryAt) }
