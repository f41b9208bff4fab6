package placer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

const (
	// minReturn and maxReturn bound what refused callers are told to wait.
	minReturn = 500 * time.Millisecond
	maxReturn = 4 * time.Second
	// returnSpread is the part of the wait over which returns are spread.
	returnSpread = 0.5
	// returnSlack is how much later than told a refused caller still counts as one who comes back.
	returnSlack = 5 * time.Second
	// unservable stands for a wait without an end.
	unservable = time.Hour
)

// Plan is what becomes of those who wait; whoever is in neither list waits on.
type Plan struct {
	Places  []Place
	Refused []Refusal
}

// Plan decides who of those waiting gets a place now and who will get none in time. Places count as taken until their
// requests end, fail or are not held.
func (p *Placer) Plan(now time.Time, waiting []Request) Plan {
	var plan Plan
	list := make([]Request, 0, len(waiting))
	for _, r := range waiting {
		if r.IsLost(now) {
			plan.Refused = append(plan.Refused, p.refuse(now, r, "no engine has room", len(list)))
			continue
		}
		list = append(list, r)
	}
	s := p.newSearch(now)
	s.setOnTime(list)
	byRank := func(r Request) queuer.Item { return r.Item }
	queuer.Sort(now, list, byRank)
	p.updateCapacity(now)
	if p.capacity.deferSome(now, list) {
		queuer.Sort(now, list, byRank)
	}
	left := list[:0]
	for _, r := range list {
		place, ok := s.place(r)
		if !ok {
			left = append(left, r)
			continue
		}
		plan.Places = append(plan.Places, place)
	}
	if s.hasMissed() {
		plan.Refused = append(plan.Refused, p.refuseUnservable(now, left)...)
	}
	return plan
}

// refuseUnservable refuses those of the late who will not get a place any more.
func (p *Placer) refuseUnservable(now time.Time, waiting []Request) []Refusal {
	var refused []Refusal
	ahead := 0
	for _, r := range waiting {
		if r.IsLate(now) && !r.Returned {
			if wait, ok := p.waitOf(now, ahead); ok && now.Add(wait).After(r.Latest) {
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
func (p *Placer) waitOf(now time.Time, ahead int) (time.Duration, bool) {
	if p.capacity.rate <= 0 {
		return p.placed.Wait(now, ahead)
	}
	left := p.capacity.rate - p.arrived.Rate(now)
	if left <= 0 {
		return unservable, true
	}
	return time.Duration(float64(ahead) / left * float64(time.Second)), true
}

// refuse tells a request to come back when those ahead have their places. Returns are spread.
func (p *Placer) refuse(now time.Time, r Request, reason string, ahead int) Refusal {
	wait, ok := p.waitOf(now, ahead+1)
	if !ok {
		wait = maxReturn
	}
	wait = min(max(wait, minReturn), maxReturn)
	wait = time.Duration(float64(wait) * (1 + returnSpread*p.random.Float64()))
	if r.Fingerprint != 0 {
		p.rejected[r.Fingerprint] = rejection{firstBy: r.FirstBy, until: now.Add(wait + returnSlack)}
	}
	return Refusal{ID: r.ID, Reason: reason, Wait: wait}
}
