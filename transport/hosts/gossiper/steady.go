package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
)

const (
	// cohort is how much later than the oldest host one may have started to be a steady home: a host that was restarted
	// does not take its homes back.
	maxStartLag = 2 * time.Second
	// passAfter is how long a host must have been blind while most others see before it is passed over. In an outage of
	// the log hosts notice its loss and its return at different moments, and homes must not move about for that.
	exclusionDelay = time.Second
)

// steady returns the hosts that may be homes with much to learn. The caller holds mu.
func (g *Gossiper) stable(members []tracker.Member) map[string]tracker.Member {
	candidates := g.excludeUnreachable(g.options.Clock.Now(), members)
	steady := make(map[string]tracker.Member)
	if len(candidates) == 0 {
		return steady
	}
	oldest := slices.MinFunc(candidates, func(a, b tracker.Member) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	}).Incarnation
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(m tracker.Member) bool {
		return m.Incarnation-oldest > uint64(maxStartLag)
	})
	for _, m := range ranker.FilterByCPU(candidates, func(m tracker.Member) int { return m.Power }) {
		steady[m.Name] = m
	}
	return steady
}

// seeing leaves out hosts that are blind while most others have been seeing for passAfter. The caller holds mu.
func (g *Gossiper) excludeUnreachable(now time.Time, members []tracker.Member) []tracker.Member {
	blind := 0
	for _, m := range members {
		if m.LogUnreachable {
			blind++
		}
	}
	if 2*blind >= len(members) {
		clear(g.unreachableSince)
		return members
	}
	maps.DeleteFunc(g.unreachableSince, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(members, func(m tracker.Member) bool { return m.Name == name && m.LogUnreachable })
	})
	return slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool {
		if !m.LogUnreachable {
			return false
		}
		if _, ok := g.unreachableSince[m.Name]; !ok {
			g.unreachableSince[m.Name] = now
		}
		return now.Sub(g.unreachableSince[m.Name]) >= exclusionDelay
	})
}

// SteadyHome returns the host among those running longest that serves key for all, and whether it is the own one. A
// home with much to learn moves less often so. Hosts that are cut off from the platform's log are passed over, and those
// for which isSilent holds: whoever finds a home silent comes to the same next one.
func (g *Gossiper) StableOwner(key string, isSilent func(name string) bool) (tracker.Member, bool) {
	steady := g.serving.Load().stable
	var names []string
	for name := range steady {
		if !isSilent(name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return g.Self(), true
	}
	home := steady[ranker.Owner(key, names)]
	return home, home.Name == g.options.Self.Name
}
