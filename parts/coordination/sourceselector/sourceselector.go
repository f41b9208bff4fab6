// Package sourceselector decides whether a host reads the platform's log itself or takes its records from another host.
//
// It limits the load on the log from fleets of hundreds of hosts that follow the same topics: one host in each data centre
// reads, and the others request changes from it. A host whose source fails, or has only outdated records, reads the log
// itself at once, so that the bounds on staleness do not depend on the source. The choice is a hint and needs no
// agreement between hosts.
package sourceselector

import (
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

// Selector chooses the source of records for one host. It is not safe for concurrent use.
type Selector struct {
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

// New returns the Selector of host self, which is assumed to reach the log and to have no followers.
func New(self Host) *Selector {
	return &Selector{self: self, cooldowns: make(map[string]time.Time), disconnected: make(map[string]bool)}
}

// RecordRequest records that another host has requested changes.
func (s *Selector) RecordRequest(now time.Time) { s.lastRequest = now }

// RecordSourceFailure records that a source did not answer, or had only outdated records.
func (s *Selector) RecordSourceFailure(now time.Time, source string) {
	s.cooldowns[source] = now.Add(cooldown)
}

// RecordSourceOutage records that a source cannot reach the log. It returns false if too many others cannot either: the
// source is then kept, and this host may read the log itself after minRetry.
func (s *Selector) RecordSourceOutage(now time.Time, source string) bool {
	if len(s.disconnected) >= maxDisconnected {
		if s.retryAt.IsZero() {
			s.retryAt = now.Add(minRetry)
		}
		return false
	}
	s.disconnected[source] = true
	s.RecordSourceFailure(now, source)
	return true
}

// Source returns the host to request changes from, or "" to read the log. A host that cannot reach the log uses another
// one if there is any.
func (s *Selector) Source(now time.Time, hosts []Host) string {
	if s.HasFollowers(now) && !s.isLogLost {
		return ""
	}
	for name, until := range s.cooldowns {
		if !now.Before(until) {
			delete(s.cooldowns, name)
			delete(s.disconnected, name)
		}
	}
	source := ranker.Owner("log/"+s.self.DataCentre, s.candidates(hosts))
	if source == s.self.Name {
		return ""
	}
	return source
}

// HasFollowers reports whether other hosts request changes from this one.
func (s *Selector) HasFollowers(now time.Time) bool {
	return !s.lastRequest.IsZero() && now.Sub(s.lastRequest) < followerTimeout
}

// candidates returns the hosts with enough CPU share that may be the source. If none of the own data centre reaches the log, while it
// has been lost here, those of the others are eligible that do. If none does at all, all of the own data centre are eligible, because
// followers learn from the source that the log is reachable again.
func (s *Selector) candidates(hosts []Host) []string {
	var own, connected, elsewhere []Host
	for _, h := range hosts {
		_, isCooling := s.cooldowns[h.Name]
		if isCooling || s.isLogLost && h.Name == s.self.Name {
			continue
		}
		isOwn := h.DataCentre == s.self.DataCentre
		switch {
		case isOwn && h.Disconnected:
			own = append(own, h)
		case isOwn:
			own, connected = append(own, h), append(connected, h)
		case s.isLogLost && !h.Disconnected:
			elsewhere = append(elsewhere, h)
		}
	}
	candidates := own
	switch {
	case len(connected) > 0:
		candidates = connected
	case len(elsewhere) > 0:
		candidates = elsewhere
	}
	var names []string
	for _, h := range ranker.FilterByCPU(candidates, func(h Host) int { return h.Power }) {
		names = append(names, h.Name)
	}
	return names
}

// RecordLogFailure records that the log did not answer this host, and schedules the next probe.
func (s *Selector) RecordLogFailure(now time.Time) {
	s.isLogLost = true
	limit := maxRetry
	if s.HasFollowers(now) {
		limit = followedRetry
	}
	s.retry = min(max(2*s.retry, minRetry), limit)
	s.retryAt = now.Add(s.retry)
}

// RecordLogSuccess records that the log has answered, and resets the backoff.
func (s *Selector) RecordLogSuccess() { s.isLogLost, s.retry, s.retryAt = false, 0, time.Time{} }

// MayReadLog reports whether a host that has a source may read the log: not while it is presumed unreachable.
func (s *Selector) MayReadLog(now time.Time) bool { return !now.Before(s.retryAt) }

// IsProbeDue reports whether the log was unreachable and should be tried again.
func (s *Selector) IsProbeDue(now time.Time) bool { return s.isLogLost && !now.Before(s.retryAt) }
