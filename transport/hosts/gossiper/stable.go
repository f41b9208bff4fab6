package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
)

const (
	// maxStartLag is how much later than the longest-running host a stable owner may have started, so that a restarted
	// host does not take over its former keys again.
	maxStartLag = 2 * time.Second
	// exclusionDelay is how long the log must be unreachable from a host, while most others reach it, before the host is
	// excluded. In an outage of the log, hosts detect its loss and its return at different times, which must not move keys
	// to other owners.
	exclusionDelay = time.Second
)

// stable returns the hosts that may own keys whose state is slow to rebuild. The caller holds mu.
func (g *Gossiper) stable(members []tracker.Member) map[string]tracker.Member {
	candidates := g.excludeUnreachable(g.options.Clock.Now(), members)
	stable := make(map[string]tracker.Member)
	if len(candidates) == 0 {
		return stable
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
		stable[m.Name] = m
	}
	return stable
}

// excludeUnreachable removes hosts that have not reached the log for exclusionDelay while most others did. The caller
// holds mu.
func (g *Gossiper) excludeUnreachable(now time.Time, members []tracker.Member) []tracker.Member {
	unreachable := 0
	for _, m := range members {
		if m.LogUnreachable {
			unreachable++
		}
	}
	if 2*unreachable >= len(members) {
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

// StableOwner returns the owner of key among the longest-running hosts, and whether it is this host. Keys whose state is
// slow to rebuild move less often this way. It excludes hosts that cannot reach the platform's log and hosts for which
// isUnresponsive holds; all hosts that find an owner unresponsive select the same next one.
func (g *Gossiper) StableOwner(key string, isUnresponsive func(name string) bool) (tracker.Member, bool) {
	stable := g.serving.Load().stable
	var names []string
	for name := range stable {
		if !isUnresponsive(name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return g.Self(), true
	}
	owner := stable[ranker.Owner(key, names)]
	return owner, owner.Name == g.options.Self.Name
}
