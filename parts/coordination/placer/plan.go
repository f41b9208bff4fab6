package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

const (
	// minReturn and maxReturn bound what refused callers are told to wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// returnSpread is the part of the wait over which returns are spread.
	retryJitter = 0.5
	// returnSlack is how much later than told a refused caller still counts as one who comes back.
	retryGrace = 5 * time.Second
	// unservable stands for a wait without an end.
	unboundedWait = time.Hour
)

// Plan is what becomes of those who wait; whoever is in neither list waits on.
type Plan struct {
	Placements []Placement
	Refusals   []Refusal
}

// Plan decides who of those waiting gets a place now and who will get none in time. Places count as taken until their
// requests end, fail or are not held.
func (p *Placer) Plan(now time.Time, waiting []Request) Plan {
	var plan Plan
	list := make([]Request, 0, len(waiting))
	for _, r := range waiting {
		if r.IsExpired(now) {
			plan.Refusals = append(plan.Refusals, p.refuse(now, r, "no engine has room", len(list)))
			continue
		}
		list = append(list, r)
	}
	s := p.newSearch(now)
	s.setTargetStarts(list)
	byRank := func(r Request) queuer.Item { return r.Item }
	queuer.Sort(now, list, byRank)
	p.updateCapacity(now)
	if p.capacity.deferExcess(now, list) {
		queuer.Sort(now, list, byRank)
	}
	left := list[:0]
	for _, r := range list {
		place, ok := s.place(r)
		if !ok {
			left = append(left, r)
			continue
		}
		plan.Placements = append(plan.Placements, place)
	}
	if s.hasUnplaced() {
		plan.Refusals = append(plan.Refusals, p.refuseUnservable(now, left)...)
	}
	return plan
}

// refuseUnservable refuses those of the late who will not get a place any more.
func (p *Placer) refuseUnservable(now time.Time, waiting []Request) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, r := range waiting {
		if r.IsLate(now) && !r.IsRetry {
			if wait, ok := p.predictWait(now, ahead); ok && now.Add(wait).After(r.LatestStart) {
				refused = append(refused, p.refuse(now, r, "no engine will have room in time", ahead))
				continue
			}
		}
		ahead++
	}
	return refused
}

// waitOf returns how long a late request waits with some ahead of it. Those who come meanwhile and can be served in time go
// before it.
func (p *Placer) predictWait(now time.Time, ahead int) (time.Duration, bool) {
	if p.capacity.rate <= 0 {
		return p.placements.TimeFor(now, ahead)
	}
	left := p.capacity.rate - p.arrivals.Rate(now)
	if left <= 0 {
		return unboundedWait, true
	}
	return time.Duration(float64(ahead) / left * float64(time.Second)), true
}

// refuse tells a request to come back when those ahead have their places. Returns are spread.
func (p *Placer) refuse(now time.Time, r Request, reason string, ahead int) Refusal {
	wait, ok := p.predictWait(now, ahead+1)
	if !ok {
		wait = maxRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait = time.Duration(float64(wait) * (1 + retryJitter*p.random.Float64()))
	if r.Fingerprint != 0 {
		p.refusals[r.Fingerprint] = pastRefusal{firstEventDeadline: r.FirstEventDeadline, expires: now.Add(wait + retryGrace)}
	}
	return Refusal{ID: r.ID, Reason: reason, RetryAfter: wait}
}
