package throttler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// What an endpoint bears in any replayWindow: replayTolerance times its limit, and replayAllowance requests.
	replayWindow    = 4.0
	replayTolerance = 1.5
	replayAllowance = 5.0
	// replayContact is the time in seconds after which a limit must be kept.
	replayContact = 3.0
	// tellTime is the time in seconds after which a limit is known to the owner and to the hosts that reach it.
	tellTime = 0.1
	// takeover is the time in which hosts may still take the former owner for the owner.
	takeover = 3 * time.Second
	// latency is the time in seconds from a permit to the arrival at the endpoint.
	latency = 0.002
)

// load is a replay: requests of many hosts to one endpoint with a limit. Times are in seconds.
type load struct {
	name     string
	hosts    int
	duration float64
	// perSecond is the rate of requests of all hosts together, failing the share of them that is sent a second time.
	perSecond, failing float64
	// limits are the stated limits by the time of the statement; 0 withdraws.
	limits []statement
	// owner returns the owner that a host believes in at a time.
	owner func(at float64, host int) int
	// isCut reports whether two hosts can't reach each other.
	isCut func(at float64, a, b int) bool
	// isOverloadedBefore is set if what arrives before the first statement alone exceeds what the endpoint bears. Then only
	// later requests count.
	isOverloadedBefore bool
	// seen is the number of hosts that a host reaches, as it knows at a time.
	seen func(at float64, host int) int
}

type statement struct{ at, perSecond float64 }

// sending is how a host obtains the permission to send; there are wrong ones, which the check must find.
type sending int

const (
	shared sending = iota
	// wholeLimitForEachHost keeps the limit on each host by itself.
	wholeLimitForEachHost
	// secondSendsUncounted asks for no permit for the second send of a request.
	secondSendsUncounted
)

type replayHost struct {
	throttler *Throttler
	recent    Recent
	limit     Limit
}

// result is what the endpoint saw.
type result struct {
	arrivals []float64
	wanted   int
}

func (l load) limitAt(at float64) (perSecond float64, since float64, ok bool) {
	for _, s := range l.limits {
		if s.at > at {
			break
		}
		if !ok {
			since = s.at
		}
		perSecond, ok = s.perSecond, s.perSecond > 0
	}
	return perSecond, since, ok
}

// standing returns what a host knows about itself.
func (l load) standing(now float64, host int) Standing {
	seen := l.hosts
	if l.seen != nil {
		seen = l.seen(now, host)
	}
	return Standing{IsOwner: l.owner(now, host) == host && 2*seen > l.hosts, Hosts: l.hosts, Unreachable: l.hosts - seen}
}

// permit asks for a permit as a host does, and returns the time to wait, false if it is refused.
func (l load) permit(hosts []*replayHost, now float64, host int, how sending, isSecond bool) (wait float64, ok bool) {
	h, clock := hosts[host], at(now)
	stated, since, isLimited := l.limitAt(now - tellTime)
	if !isLimited || (how == secondSendsUncounted && isSecond) {
		h.recent.Add(clock)
		return 0, true
	}
	limit := Limit{IsSet: true, PerSecond: stated, ObservedAt: at(since)}
	const maxWait = 50 * time.Millisecond
	owner := l.owner(now, host)
	if how == wholeLimitForEachHost {
		h.throttler.SetStanding(clock, Standing{IsOwner: true, Hosts: 1})
		w, ok := h.throttler.Permit(clock, "e", epoch, limit, maxWait)
		return w.Seconds(), ok
	}
	if !l.isCut(now, host, owner) {
		o := hosts[owner].throttler
		if s := l.standing(now, owner); s.IsOwner {
			o.SetStanding(clock, s)
			o.Charge(clock, "e", epoch, limit, h.recent.Take(clock))
			w, ok := o.Permit(clock, "e", epoch, limit, maxWait)
			return w.Seconds(), ok
		}
	}
	s := l.standing(now, host)
	s.IsOwner = false
	h.throttler.SetStanding(clock, s)
	w, ok := h.throttler.Permit(clock, "e", epoch, limit, maxWait)
	if ok {
		h.recent.Add(clock)
	}
	return w.Seconds(), ok
}

// report tells the owner what a host has sent lately.
func (l load) report(hosts []*replayHost, now float64, host int) {
	owner := l.owner(now, host)
	stated, since, isLimited := l.limitAt(now - tellTime)
	if s := l.standing(now, owner); isLimited && s.IsOwner && !l.isCut(now, host, owner) {
		hosts[owner].throttler.SetStanding(at(now), s)
		limit := Limit{IsSet: true, PerSecond: stated, ObservedAt: at(since)}
		hosts[owner].throttler.Charge(at(now), "e", epoch, limit, hosts[host].recent.Take(at(now)))
	}
}

func (l load) replay(seed uint64, how sending) result {
	random := rand.New(rand.NewPCG(seed, 1))
	var hosts []*replayHost
	for i := range l.hosts {
		hosts = append(hosts, &replayHost{throttler: New(fmt.Sprintf("host-%d", i), takeover)})
	}
	type send struct {
		at       float64
		host     int
		isSecond bool
		// isReport stands for the report of the recent requests by a host that learns of a limit.
		isReport bool
	}
	var queue []send
	for _, s := range l.limits {
		for host := range hosts {
			queue = append(queue, send{at: s.at + tellTime, host: host, isReport: true})
		}
	}
	for now := 0.0; now < l.duration; now += random.ExpFloat64() / l.perSecond {
		host := random.IntN(l.hosts)
		queue = append(queue, send{at: now, host: host})
		if random.Float64() < l.failing {
			queue = append(queue, send{at: now + 0.02, host: host, isSecond: true})
		}
	}
	slices.SortFunc(queue, func(a, b send) int { return at(a.at).Compare(at(b.at)) })
	var r result
	ticked := -60.0
	for _, s := range queue {
		for ; ticked < s.at; ticked += StandingInterval.Seconds() {
			for i := range hosts {
				hosts[i].throttler.SetStanding(at(ticked), l.standing(max(0, ticked), i))
			}
		}
		if s.isReport {
			l.report(hosts, s.at, s.host)
			continue
		}
		r.wanted++
		if wait, ok := l.permit(hosts, s.at, s.host, how, s.isSecond); ok {
			r.arrivals = append(r.arrivals, s.at+wait+latency)
		}
	}
	slices.Sort(r.arrivals)
	return r
}

// worst returns the highest share of what the endpoint bears in a window, and the end of that window.
func (l load) worst(r result) (share, end float64) {
	first, from := 0, 0.0
	if l.isOverloadedBefore {
		from = l.limits[0].at + tellTime
	}
	for i, now := range r.arrivals {
		for r.arrivals[first] < max(from, now-replayWindow) && first < i {
			first++
		}
		perSecond, since, ok := l.limitAt(now)
		if !ok || now < since+replayContact {
			continue
		}
		for _, s := range l.limits {
			if next, _, _ := l.limitAt(max(s.at, now-replayWindow)); s.at <= now {
				perSecond = max(perSecond, next)
			}
		}
		bearable := replayTolerance*perSecond*replayWindow + replayAllowance
		if n := float64(i-first+1) / bearable; n > share {
			share, end = n, now
		}
	}
	return share, end
}

// used returns the arrivals between two times as a share of the limit in force at the end.
func (l load) used(r result, from, to float64) float64 {
	n := 0
	for _, a := range r.arrivals {
		if a >= from && a < to {
			n++
		}
	}
	perSecond, _, _ := l.limitAt(to)
	return float64(n) / (perSecond * (to - from))
}

func always(host int) func(float64, int) int { return func(float64, int) int { return host } }

func never(float64, int, int) bool { return false }

func between(now, from, to float64) bool { return now >= from && now < to }

// loads are the loads that the limit must survive.
func loads() []load {
	fiveFrom5 := []statement{{at: 5, perSecond: 5}}
	base := func(name string, hosts int) load {
		return load{name: name, hosts: hosts, duration: 40, perSecond: 12, failing: 0.2, limits: fiveFrom5, owner: always(0), isCut: never}
	}
	few, many := base("12 hosts", 12), base("380 hosts", 380)
	many.perSecond, many.isOverloadedBefore = 40, true
	steep := base("five times the limit before it is stated", 12)
	steep.perSecond = 25
	large := base("a large limit", 40)
	large.limits, large.perSecond = []statement{{at: 5, perSecond: 60}}, 150
	varied := base("a limit that falls, rises, ends and begins again", 12)
	varied.limits = []statement{{5, 9}, {12, 2}, {18, 6}, {24, 0}, {30, 4}}
	cut := base("a third of the hosts cut off from the owner", 12)
	cut.isCut = func(now float64, a, b int) bool { return between(now, 12, 25) && (a < 8) != (b < 8) }
	cut.seen = func(now float64, host int) int {
		switch { // membership notices the cut after 2 s
		case !between(now, 14, 26):
			return 12
		case host < 8:
			return 8
		}
		return 4
	}
	lost := base("the owner lost, the next one known at different times", 12)
	lost.isCut = func(now float64, a, b int) bool { return now >= 12 && (a == 0) != (b == 0) }
	lost.owner = func(now float64, host int) int {
		if now >= 13+0.2*float64(host) && host != 0 {
			return 1
		}
		return 0
	}
	lost.seen = func(now float64, host int) int {
		switch {
		case now < 13:
			return 12
		case host == 0:
			return 1
		}
		return 11
	}
	moving := base("the owner moves every 2 s, known a second apart", 12)
	moving.owner = func(now float64, host int) int { return int((now+float64(host)/12)/2) % 12 }
	alone := base("every host alone", 12)
	alone.isCut = func(now float64, a, b int) bool { return now >= 8 && a != b }
	alone.seen = func(now float64, _ int) int {
		if now >= 10 {
			return 1
		}
		return 12
	}
	aloneMany := alone
	aloneMany.name, aloneMany.hosts, aloneMany.perSecond, aloneMany.isOverloadedBefore = "each of 380 hosts alone", 380, 400, true
	aloneMany.limits = []statement{{at: 1, perSecond: 5}}
	aloneMany.isCut = func(_ float64, a, b int) bool { return a != b }
	aloneMany.seen = func(float64, int) int { return 1 }
	halves := base("two halves, no majority on either side", 12)
	halves.isCut = func(now float64, a, b int) bool { return now >= 12 && (a < 6) != (b < 6) }
	halves.seen = func(now float64, _ int) int {
		if now >= 14 {
			return 6
		}
		return 12
	}
	return []load{few, many, steep, large, varied, cut, lost, moving, alone, aloneMany, halves}
}

// Endpoints that stated a limit of 5 a second got 12 and more from all hosts together: each host decided alone.
func TestAllHostsTogetherStayWithinTheLimitOfAnEndpoint(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := l.replay(seed, shared)
				share, end := l.worst(r)
				assert.LessOrEqual(t, share, 1.0, "seed %d: window until %.1f s", seed, end)
			}
		})
	}
}

func TestALimitIsUsedWhileHostsReachItsOwner(t *testing.T) {
	for _, l := range loads()[:4] {
		t.Run(l.name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := l.replay(seed, shared)
				share := l.used(r, 12, 40)
				assert.GreaterOrEqual(t, share, 0.9, "seed %d", seed)
				assert.LessOrEqual(t, share, 1.1, "seed %d", seed)
			}
		})
	}
}

// The check of the replay must find hosts that each use the whole limit, and second sends that are not counted.
func TestTheReplayFindsHostsThatExceedTheLimit(t *testing.T) {
	for name, how := range map[string]sending{"whole limit for each host": wholeLimitForEachHost, "second sends uncounted": secondSendsUncounted} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				l := loads()[0]
				l.perSecond, l.failing = 40, 0.5
				share, _ := l.worst(l.replay(seed, how))
				assert.Greater(t, share, 1.0, "seed %d", seed)
			}
		})
	}
}
