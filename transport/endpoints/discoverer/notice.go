package discoverer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// maxPause limits the pause that an endpoint can request, so that a wrong value does not exclude it permanently.
	maxPause = 5 * time.Minute
	// leavingRetention is how long a leaving mark is kept after the endpoint's entry was removed, as an older entry may
	// reappear.
	leavingRetention = 10 * time.Minute
)

// Notice is the status that an endpoint attaches to an answer.
type Notice struct {
	// Leaving is set by an endpoint that is about to shut down.
	Leaving bool
	// Pause is how long this host must not call the endpoint.
	Pause time.Duration
	// InvalidPause is the text of a pause that could not be parsed.
	InvalidPause string
	// Limit is the number of requests per second that the endpoint accepts from all hosts together, if HasLimit is set.
	Limit    float64
	HasLimit bool
	// InvalidLimit is the text of a limit that could not be parsed.
	InvalidLimit string
}

// PausedError reports an endpoint that requested a pause in calls from this host.
type PausedError struct {
	Endpoint string
	Until    time.Time
}

func (e *PausedError) Error() string {
	return fmt.Sprintf("discoverer: unable to call endpoint %s: it requested a pause until %s", e.Endpoint, e.Until.Format(time.StampMilli))
}

// leavingMark identifies an incarnation that announced that it is leaving.
type leavingMark struct {
	incarnationStart time.Time
	markedAt         time.Time
}

// PausedUntil returns the end of the last pause that the endpoint requested, zero if it requested none.
func (e *Endpoint) PausedUntil() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil
}

// IsPaused reports whether this host must not call the endpoint at now.
func (e *Endpoint) IsPaused(now time.Time) bool { return now.Before(e.PausedUntil()) }

// pause extends the pause to until. It never shortens it, as answers may arrive out of order.
func (e *Endpoint) pause(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// copyNotices copies what the endpoint has stated to its next entry.
func (e *Endpoint) copyNotices(next *Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next.pausedUntil, next.limit, next.unpermitted = e.pausedUntil, e.limit, e.unpermitted
}

// CountUnpermitted counts a request to the endpoint that the owner of its service has not permitted.
func (e *Endpoint) CountUnpermitted(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unpermitted.Add(now)
}

// TakeUnpermitted returns the number of recent requests that the owner has not permitted, and forgets them.
func (e *Endpoint) TakeUnpermitted(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unpermitted.Take(now)
}

// Limit returns the rate limit that the endpoint has stated, as this host knows it.
func (e *Endpoint) Limit() throttler.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// updateLimit applies update to the limit, and returns the limit before and after.
func (e *Endpoint) updateLimit(update func(throttler.Limit) throttler.Limit) (before, after throttler.Limit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.limit
	e.limit = update(before)
	return before, e.limit
}

// MergeLimit applies a limit that another host knows of an incarnation of an endpoint. It returns the endpoint with the newer
// of both limits, nil if the incarnation is not listed.
func (d *Discoverer) MergeLimit(id string, incarnationStart time.Time, l throttler.Limit) *Endpoint {
	ep := d.index.Load().byID[id]
	if ep == nil || !ep.IncarnationStart.Equal(incarnationStart) {
		return nil
	}
	d.changeLimit(ep, true, func(known throttler.Limit) throttler.Limit {
		if known.IsSame(l) {
			return known // the age of what hosts repeat to each other grows less than time passes
		}
		return known.Merge(l)
	})
	return ep
}

// ApplyAnswerLimit withdraws the limit of ep after an answer without one to a request sent at sentAt. Control calls are no
// such requests.
func (d *Discoverer) ApplyAnswerLimit(ep *Endpoint, n Notice, sentAt time.Time) {
	if !n.HasLimit && n.InvalidLimit == "" {
		d.changeLimit(ep, false, func(l throttler.Limit) throttler.Limit {
			return l.Answer(throttler.Limit{ObservedAt: d.clock.Now()}, sentAt)
		})
	}
}

// changeLimit applies update to the limit of ep, and logs a change.
func (d *Discoverer) changeLimit(ep *Endpoint, isReported bool, update func(throttler.Limit) throttler.Limit) {
	before, after := ep.updateLimit(update)
	if before.IsSame(after) {
		return
	}
	source := "answer"
	if isReported {
		source = "peer"
	}
	defer d.onLimit(ep, isReported)
	d.countNotice("limit")
	eventlogger.Info(d.logs, eventlogger.EndpointLimited, "endpoint", ep.ID, "service", ep.Service, "limited", after.IsSet,
		"per_second", after.PerSecond, "before", before.PerSecond, "source", source)
}

// ApplyNotice applies a notice of ep.
func (d *Discoverer) ApplyNotice(ep *Endpoint, n Notice) {
	now := d.clock.Now()
	if n.InvalidPause != "" || n.InvalidLimit != "" {
		eventlogger.Warn(d.logs, eventlogger.NoticeInvalid, "endpoint", ep.ID, "service", ep.Service, "pause", n.InvalidPause, "limit", n.InvalidLimit)
	}
	if n.HasLimit {
		d.changeLimit(ep, false, func(l throttler.Limit) throttler.Limit {
			return l.Merge(throttler.Limit{IsSet: true, PerSecond: n.Limit, ObservedAt: now})
		})
	}
	if n.Pause > 0 {
		pause := min(n.Pause, maxPause)
		ep.pause(now.Add(pause))
		d.countNotice("pause")
		eventlogger.Info(d.logs, eventlogger.EndpointPaused, "endpoint", ep.ID, "service", ep.Service, "asked", n.Pause, "pause", pause)
	}
	if n.Leaving && d.MarkLeaving(ep.ID, ep.IncarnationStart, "answer") {
		d.countNotice("leaving")
		d.onLeaving(ep)
	}
}

// ApplyNoticeAt applies a notice of the endpoint at an address, if it is known.
func (d *Discoverer) ApplyNoticeAt(at netip.AddrPort, n Notice) {
	if ep := d.index.Load().byAddress[at]; ep != nil {
		d.ApplyNotice(ep, n)
	}
}

// CheckPause returns a *PausedError if the endpoint at an address is paused.
func (d *Discoverer) CheckPause(at netip.AddrPort) error {
	ep := d.index.Load().byAddress[at]
	if ep == nil || !ep.IsPaused(d.clock.Now()) {
		return nil
	}
	return &PausedError{Endpoint: ep.ID, Until: ep.PausedUntil()}
}

// MarkLeaving marks an incarnation of an endpoint as leaving, whatever its entry says. It returns false if the incarnation
// is unknown or already leaving. The next incarnation is not affected.
func (d *Discoverer) MarkLeaving(id string, incarnationStart time.Time, source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.known[id]
	if old == nil || !old.IncarnationStart.Equal(incarnationStart) || old.Leaving {
		return false
	}
	d.leaving[id] = leavingMark{incarnationStart: incarnationStart, markedAt: d.clock.Now()}
	eventlogger.Info(d.logs, eventlogger.EndpointLeaving, "endpoint", id, "service", old.Service, "born", incarnationStart, "source", source)
	d.rebuild(0)
	return true
}

// Paused returns the IDs of the paused endpoints of a service, and when the first pause ends.
func (d *Discoverer) Paused(service string) (ids []string, ends time.Time) {
	now := d.clock.Now()
	for _, ep := range d.Service(service) {
		until := ep.PausedUntil()
		if !now.Before(until) {
			continue
		}
		ids = append(ids, ep.ID)
		if ends.IsZero() || until.Before(ends) {
			ends = until
		}
	}
	return ids, ends
}

// evictLeavingMarks drops the old marks of endpoints that are no longer listed. The caller holds mu.
func (d *Discoverer) evictLeavingMarks() {
	now := d.clock.Now()
	for id, m := range d.leaving {
		if d.known[id] == nil && now.Sub(m.markedAt) > leavingRetention {
			delete(d.leaving, id)
		}
	}
}
