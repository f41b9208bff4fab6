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
	askedFor = 3 * time.Second
	// firstRetry and lastRetry bound the time between two tries of a log that is out of reach. It doubles from one to the
	// other: hundreds of hosts that try would only add to an outage.
	firstRetry = 4 * time.Second
	lastRetry  = 16 * time.Second
	// maxLost is how many sources that do not reach the log are passed over at a time. If one more does not, the log is
	// most likely out of reach of all.
	maxLost = 2
	// askedRetry is that time for a host that others ask: it tells them when the log is back.
	askedRetry = time.Second
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
	self    Host
	cooling map[string]time.Time
	// disconnected are those of the cooling that did not reach the log.
	disconnected map[string]bool
	asked        time.Time
	// lost is set while the log is out of reach of this host; retryAt and retry are when it is tried next, and the time
	// after that.
	lost    bool
	retryAt time.Time
	retry   time.Duration
}

// New returns the Delegator of a host.
func New(self Host) *Delegator {
	return &Delegator{self: self, cooling: make(map[string]time.Time), disconnected: make(map[string]bool)}
}

// Asked takes in that another host asks for changes.
func (d *Delegator) Asked(now time.Time) { d.asked = now }

// Failed takes in that a source did not answer, or knew only what is too old.
func (d *Delegator) Failed(now time.Time, source string) { d.cooling[source] = now.Add(cooldown) }

// SourceLost takes in that a source does not reach the log. It returns false if too many others do not either: then the
// source is kept, and the log itself is tried after a while.
func (d *Delegator) SourceLost(now time.Time, source string) bool {
	if len(d.disconnected) >= maxLost {
		if d.retryAt.IsZero() {
			d.retryAt = now.Add(firstRetry)
		}
		return false
	}
	d.disconnected[source] = true
	d.Failed(now, source)
	return true
}

// Source returns the host to take changes from, "" for the log itself. A host that does not reach the log takes them from
// another one, if there is any.
func (d *Delegator) Source(now time.Time, hosts []Host) string {
	if d.IsAsked(now) && !d.lost {
		return ""
	}
	for name, until := range d.cooling {
		if !now.Before(until) {
			delete(d.cooling, name)
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
func (d *Delegator) IsAsked(now time.Time) bool {
	return !d.asked.IsZero() && now.Sub(d.asked) < askedFor
}

// candidates returns the strong hosts that may read for this one. If none reaches the log, any of them may: it will tell
// when the log is back.
func (d *Delegator) candidates(hosts []Host) []string {
	var near []Host
	for _, h := range hosts {
		_, isCooling := d.cooling[h.Name]
		if h.DataCentre == d.self.DataCentre && !isCooling && (!d.lost || h.Name != d.self.Name) {
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
func (d *Delegator) Lost(now time.Time) {
	d.lost = true
	most := lastRetry
	if d.IsAsked(now) {
		most = askedRetry
	}
	d.retry = min(max(2*d.retry, firstRetry), most)
	d.retryAt = now.Add(d.retry)
}

// Reached takes in that the log answers.
func (d *Delegator) Reached() { d.lost, d.retry, d.retryAt = false, 0, time.Time{} }

// MayTry tells whether the log is worth a try by a host that has a source: not while it is thought to be out of reach.
func (d *Delegator) MayTry(now time.Time) bool { return !now.Before(d.retryAt) }

// IsProbeDue tells whether the log, which was out of reach, is to be tried again.
func (d *Delegator) IsProbeDue(now time.Time) bool { return d.lost && !now.Before(d.retryAt) }
