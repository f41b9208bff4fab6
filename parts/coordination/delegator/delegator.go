// Package delegator decides whether a host reads the platform's log itself or takes its records from another host.
//
// It limits the load on the log from fleets of hundreds of hosts that follow the same topics: one host in each data centre
// reads, and the others request changes from it. A host whose source fails, or has only outdated records, reads the log
// itself at once, so that the bounds on staleness do not depend on the source. The choice is a hint and needs no
// agreement between hosts.
package delegator

import (
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
)

const (
	// cooldown is how long a failed source is skipped.
	cooldown = 5 * time.Second
	// followerTimeout is how long a host continues to read the log after the last request of a follower. Followers send
	// several requests a second.
	followerTimeout = 3 * time.Second
	// minRetry and maxRetry bound the exponential backoff while the log is unreachable: probes of hundreds of hosts
	// would prolong an outage.
	minRetry = 4 * time.Second
	maxRetry = 16 * time.Second
	// maxDisconnected is how many sources that cannot reach the log are skipped at a time. If one more cannot, the log is
	// most likely unreachable for all hosts.
	maxDisconnected = 2
	// followedRetry replaces maxRetry for a host with followers, which learn from it that the log is reachable again.
	followedRetry = time.Second
)

// Host is a candidate for reading the log.
type Host struct {
	Name       string
	DataCentre string
	// Disconnected hosts cannot reach the log.
	Disconnected bool
	// Power is the CPU share in thousandths of a core.
	Power int
}

// Delegator chooses the source of records for one host. It is not safe for concurrent use.
type Delegator struct {
	self      Host
	cooldowns map[string]time.Time
	// disconnected are the sources in cooldowns that could not reach the log.
	disconnected map[string]bool
	lastRequest  time.Time
	// isLogLost is set while this host cannot reach the log. retryAt is the time of the next probe, retry the current
	// backoff.
	isLogLost bool
	retryAt   time.Time
	retry     time.Duration
}

// New returns the Delegator of host self, which is assumed to reach the log and to have no followers.
func New(self Host) *Delegator {
	return &Delegator{self: self, cooldowns: make(map[string]time.Time), disconnected: make(map[string]bool)}
}

// RecordRequest records that another host has requested changes.
func (d *Delegator) RecordRequest(now time.Time) { d.lastRequest = now }

// RecordSourceFailure records that a source did not answer, or had only outdated records.
func (d *Delegator) RecordSourceFailure(now time.Time, source string) {
	d.cooldowns[source] = now.Add(cooldown)
}

// RecordSourceOutage records that a source cannot reach the log. It returns false if too many others cannot either: the
// source is then kept, and this host may read the log itself after minRetry.
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

// Source returns the host to request changes from, or "" to read the log. A host that cannot reach the log uses another
// one if there is any.
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

// HasFollowers reports whether other hosts request changes from this one.
func (d *Delegator) HasFollowers(now time.Time) bool {
	return !d.lastRequest.IsZero() && now.Sub(d.lastRequest) < followerTimeout
}

// candidates returns the hosts with enough CPU share that may be the source. If none reaches the log, all of them are
// eligible, because followers learn from the source that the log is reachable again.
func (d *Delegator) candidates(hosts []Host) []string {
	var nearby []Host
	for _, h := range hosts {
		_, isCooling := d.cooldowns[h.Name]
		if h.DataCentre == d.self.DataCentre && !isCooling && (!d.isLogLost || h.Name != d.self.Name) {
			nearby = append(nearby, h)
		}
	}
	isDisconnected := func(h Host) bool { return h.Disconnected }
	if connected := slices.DeleteFunc(slices.Clone(nearby), isDisconnected); len(connected) > 0 {
		nearby = connected
	}
	var names []string
	for _, h := range ranker.FilterByCPU(nearby, func(h Host) int { return h.Power }) {
		names = append(names, h.Name)
	}
	return names
}

// RecordLogFailure records that the log did not answer this host, and schedules the next probe.
func (d *Delegator) RecordLogFailure(now time.Time) {
	d.isLogLost = true
	limit := maxRetry
	if d.HasFollowers(now) {
		limit = followedRetry
	}
	d.retry = min(max(2*d.retry, minRetry), limit)
	d.retryAt = now.Add(d.retry)
}

// RecordLogSuccess records that the log has answered, and resets the backoff.
func (d *Delegator) RecordLogSuccess() { d.isLogLost, d.retry, d.retryAt = false, 0, time.Time{} }

// MayReadLog reports whether a host that has a source may read the log: not while it is presumed unreachable.
func (d *Delegator) MayReadLog(now time.Time) bool { return !now.Before(d.retryAt) }

// IsProbeDue reports whether the log was unreachable and should be tried again.
func (d *Delegator) IsProbeDue(now time.Time) bool { return d.isLogLost && !now.Before(d.retryAt) }
