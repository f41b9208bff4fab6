package throttler

import (
	"hash/fnv"
	"maps"
	"math"
	"time"
)

const (
	// aloneShare is the part of a limit that all hosts may use together without permits of the owner. The owner does not
	// know of such requests until they are reported.
	aloneShare = 0.5
	// takeoverShare is the part of a limit that a new owner permits, while the former one may still permit requests.
	takeoverShare = 0.5
	// minPerSecond is the rate at which an endpoint with a lower limit is still used, to learn that the limit has changed.
	minPerSecond = 0.1
	// maxStandingGap is the time between two calls of SetStanding beyond which the host takes itself to have been suspended.
	maxStandingGap = 3 * StandingInterval
	// retention is how long the state of an endpoint without requests is kept.
	retention = 5 * time.Minute
)

// StandingInterval is the longest time between two calls of SetStanding.
const StandingInterval = 500 * time.Millisecond

// Standing is what a host knows about its position among the hosts that share a limit.
type Standing struct {
	// IsOwner is set on the host that permits the requests of all hosts. It must be unset on a host that is connected to no
	// majority of the hosts, as another one may be the owner for these.
	IsOwner bool
	// Hosts is the highest number of hosts that may send at the same time, 0 if it is not known.
	Hosts int
	// Unreachable is the number of hosts that the owner has lost contact to. They may send without its permits.
	Unreachable int
}

// Throttler decides on the requests to the endpoints of one service that have limits. On the owner of the service it permits
// the requests of all hosts; on another host, it decides on the host's own requests while the owner can't be reached.
//
// The owner permits what is left of a limit after the shares of the hosts that it can't reach. A host on its own uses at
// most an equal share of half of the limit, in a time slot of its own. So all hosts together stay within the limit if the
// owner knows who can't reach it, and within one and a half times the limit until it does. It is not safe for concurrent
// use.
type Throttler struct {
	host string
	// takeoverTime is how long after a change of the owner the former one may still permit requests.
	takeoverTime time.Duration
	standing     Standing
	// standingSetAt is the time of the last call of SetStanding.
	standingSetAt time.Time
	ownerSince    time.Time
	endpoints     map[string]*endpoint
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	incarnationStart time.Time
	bucket           bucket
	// slotUsedAt is the start of the last slot in which this host sent a request on its own.
	slotUsedAt time.Time
	lastUsed   time.Time
}

// New returns a Throttler of the named host.
func New(host string, takeoverTime time.Duration) *Throttler {
	return &Throttler{host: host, takeoverTime: takeoverTime, endpoints: make(map[string]*endpoint)}
}

// SetStanding sets the present position of this host. A new owner does not know what the former one has permitted, so it
// begins without saved requests. So does one that was suspended, as another host may have replaced it meanwhile.
func (t *Throttler) SetStanding(now time.Time, s Standing) {
	isNew := !t.standing.IsOwner || now.Sub(t.standingSetAt) > maxStandingGap
	t.standingSetAt = now
	if s.IsOwner && isNew {
		t.ownerSince = now
		for _, e := range t.endpoints {
			e.bucket = bucket{requests: min(e.bucket.requests, 0), refilledAt: now}
		}
	}
	t.standing = s
}

func (t *Throttler) isTakingOver(now time.Time) bool { return now.Sub(t.ownerSince) < t.takeoverTime }

// IsOwner reports whether this host permits the requests of all hosts.
func (t *Throttler) IsOwner() bool { return t.standing.IsOwner }

// rate returns the requests per second that this host may permit.
func (t *Throttler) rate(now time.Time, l Limit) float64 {
	share := 1.0
	if n := t.standing.Hosts; n > 0 {
		share -= aloneShare * min(1, float64(t.standing.Unreachable)/float64(n))
	}
	if t.isTakingOver(now) {
		share *= takeoverShare
	}
	return share * max(l.PerSecond, minPerSecond)
}

func (t *Throttler) endpoint(now time.Time, id string, incarnationStart time.Time) *endpoint {
	e := t.endpoints[id]
	if e == nil || !e.incarnationStart.Equal(incarnationStart) {
		e = &endpoint{incarnationStart: incarnationStart, bucket: bucket{refilledAt: now}}
		if !t.isTakingOver(now) {
			e.bucket.requests = math.Inf(1) // reduced to the capacity by the first refill
		}
		t.endpoints[id] = e
	}
	e.lastUsed = now
	return e
}

// Permit permits a request to an endpoint with limit l after wait. If wait would exceed maxWait, it permits none, and wait
// is the time until the next one.
func (t *Throttler) Permit(now time.Time, id string, incarnationStart time.Time, l Limit, maxWait time.Duration) (wait time.Duration, ok bool) {
	e := t.endpoint(now, id, incarnationStart)
	if t.standing.IsOwner {
		return e.bucket.take(now, t.rate(now, l), maxWait)
	}
	if t.standing.Hosts <= 0 {
		return t.takeoverTime, false
	}
	period, start := t.slot(now, id, l)
	if start.Add(min(period, burstTime)).Before(now) {
		start = start.Add(period)
	}
	if !e.slotUsedAt.Before(start) {
		start = e.slotUsedAt.Add(period)
	}
	if wait = max(0, start.Sub(now)); wait > maxWait {
		return wait, false
	}
	e.slotUsedAt = start
	return wait, true
}

// slot returns the time between the slots of this host at an endpoint, and the start of the present one. Hosts have
// different slots, so that they can't all send at the same time. A slot is usable for burstTime at most.
func (t *Throttler) slot(now time.Time, id string, l Limit) (period time.Duration, start time.Time) {
	period = time.Duration(float64(t.standing.Hosts) / (aloneShare * max(l.PerSecond, minPerSecond)) * float64(time.Second))
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id + "/" + t.host))
	offset := time.Duration(hash.Sum64() % uint64(max(1, period)))
	return period, now.Add(-offset).Truncate(period).Add(offset)
}

// Allowance returns the number of requests to an endpoint that Permit would permit without a wait.
func (t *Throttler) Allowance(now time.Time, id string, incarnationStart time.Time, l Limit) int {
	e := t.endpoint(now, id, incarnationStart)
	if t.standing.IsOwner {
		e.bucket.refill(now, t.rate(now, l))
		return max(0, int(e.bucket.requests))
	}
	used := e.slotUsedAt
	_, ok := t.Permit(now, id, incarnationStart, l, 0)
	e.slotUsedAt = used
	if !ok {
		return 0
	}
	return 1
}

// Charge counts n requests that were sent to an endpoint without a permit of the owner. Those to an endpoint without a limit do
// not count.
func (t *Throttler) Charge(now time.Time, id string, incarnationStart time.Time, l Limit, n int) {
	if n > 0 && l.IsSet && t.standing.IsOwner {
		t.endpoint(now, id, incarnationStart).bucket.charge(now, t.rate(now, l), n)
	}
}

// GiveBack returns a permitted request that was not sent.
func (t *Throttler) GiveBack(id string, incarnationStart time.Time) {
	if e := t.endpoints[id]; e != nil && e.incarnationStart.Equal(incarnationStart) && t.standing.IsOwner {
		e.bucket.giveBack()
	}
}

// Expire drops the state of endpoints that were not used for a while.
func (t *Throttler) Expire(now time.Time) {
	maps.DeleteFunc(t.endpoints, func(_ string, e *endpoint) bool { return now.Sub(e.lastUsed) > retention })
}
