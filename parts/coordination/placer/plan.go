package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

const (
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter, before jitter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryJitter is the largest random extension of the wait, as a share of it.
	retryJitter = 0.5
	// retryGrace is how long after RetryAfter a request still counts as a retry.
	retryGrace = 5 * time.Second
	// unboundedWait is the predicted wait while requests arrive at least as fast as they can be served.
	unboundedWait = time.Hour
)

// Plan holds the decisions on waiting requests. A request in neither list continues to wait.
type Plan struct {
	Placements []Placement
	Refusals   []Refusal
}

// Plan decides which waiting requests are placed now, and which cannot be placed in time and are refused. Placements
// count as load until their requests end or fail, or their holds fail.
func (p *Placer) Plan(now time.Time, waiting []Request) Plan {
	var plan Plan
	list := make([]Request, 0, len(waiting))
	for _, r := range waiting {
		if r.IsExpired(now) {
			plan.Refusals = append(plan.Refusals, p.refuse(now, r, "no engine has room", len(list)))
			continue
		}
		if refusal, ok := p.refuseVersion(now, r, len(list)); ok {
			plan.Refusals = append(plan.Refusals, refusal)
			continue
		}
		list = append(list, r)
	}
	s := p.newSearch(now)
	s.setTargetStarts(list)
	item := func(r Request) queuer.Item { return r.Item }
	queuer.Sort(now, list, item)
	p.updateCapacity(now)
	if p.capacity.deferExcess(now, list) {
		queuer.Sort(now, list, item)
	}
	unplaced := list[:0]
	for _, r := range list {
		placement, ok := s.place(r)
		if !ok {
			unplaced = append(unplaced, r)
			continue
		}
		plan.Placements = append(plan.Placements, placement)
	}
	if s.hasUnplaced() {
		plan.Refusals = append(plan.Refusals, p.refuseUnservable(now, unplaced)...)
	}
	return plan
}

// refuseVersion refuses a stream that is resumed if no engine decodes at its software version. It returns false if one does.
func (p *Placer) refuseVersion(now time.Time, r Request, ahead int) (Refusal, bool) {
	if r.Version == "" {
		return Refusal{}, false
	}
	isListed := false
	for _, e := range p.engines {
		if e.Version == r.Version && !e.IsPrefill {
			return Refusal{}, false
		}
		isListed = isListed || e.Version == r.Version
	}
	if isListed {
		return p.refuse(now, r, "no engine of the version that began the stream is in the decode stage", ahead), true
	}
	return Refusal{ID: r.ID, Reason: "no engine runs the version that began the stream", RetryAfter: attributor.FinalRetryAfter}, true
}

// refuseUnservable refuses the late requests that are predicted to miss their latest start.
func (p *Placer) refuseUnservable(now time.Time, waiting []Request) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, r := range waiting {
		if r.IsLate(now) {
			if wait, ok := p.predictWait(now, ahead); ok && now.Add(wait).After(r.LatestStart) {
				refused = append(refused, p.refuse(now, r, "no engine will have room in time", ahead))
				continue
			}
		}
		ahead++
	}
	return refused
}

// predictWait returns the predicted wait of a late request that has ahead others before it in the queue, false if it is
// unknown. New arrivals that can meet their targets overtake it.
func (p *Placer) predictWait(now time.Time, ahead int) (time.Duration, bool) {
	if p.capacity.rate <= 0 {
		return p.placements.TimeFor(now, ahead)
	}
	spare := p.capacity.rate - p.arrivals.Rate(now)
	if spare <= 0 {
		return unboundedWait, true
	}
	return time.Duration(float64(ahead) / spare * float64(time.Second)), true
}

// refuse returns a refusal with a retry time after the requests ahead are placed, with jitter. It stores the request's
// fingerprint to recognise the retry.
func (p *Placer) refuse(now time.Time, r Request, reason string, ahead int) Refusal {
	wait, ok := p.predictWait(now, ahead+1)
	if !ok {
		wait = maxRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait = time.Duration(float64(wait) * (1 + retryJitter*p.random.Float64()))
	if r.Fingerprint != 0 && !r.IsResumption {
		p.refusals[r.Fingerprint] = pastRefusal{firstEventDeadline: r.FirstEventDeadline, expires: now.Add(wait + retryGrace)}
	}
	return Refusal{ID: r.ID, Reason: reason, RetryAfter: wait}
}
