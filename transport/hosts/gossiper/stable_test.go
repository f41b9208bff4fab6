package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
)

var epoch = time.Unix(1_000_000, 0)

func members(n int, unreachable ...int) []tracker.Member {
	var list []tracker.Member
	for i := range n {
		m := tracker.Member{Name: fmt.Sprintf("host-%d", i), Incarnation: 1000}
		for _, u := range unreachable {
			m.LogUnreachable = m.LogUnreachable || u == i
		}
		list = append(list, m)
	}
	return list
}

func newGossiper() *Gossiper {
	return &Gossiper{unreachableSince: make(map[string]time.Time), options: Options{Clock: clockwork.NewFakeClockAt(epoch)}}
}

func names(list []tracker.Member) []string {
	found := []string{}
	for _, m := range list {
		found = append(found, m.Name)
	}
	return found
}

func TestAHostThatAloneCannotReachTheLogIsExcludedAfterADelay(t *testing.T) {
	g := newGossiper()
	assert.Len(t, g.excludeUnreachable(epoch, members(3, 0)), 3)
	assert.Len(t, g.excludeUnreachable(epoch.Add(exclusionDelay-1), members(3, 0)), 3)
	assert.Equal(t, []string{"host-1", "host-2"}, names(g.excludeUnreachable(epoch.Add(exclusionDelay), members(3, 0))))
	assert.Len(t, g.excludeUnreachable(epoch.Add(exclusionDelay), members(3)), 3, "the host reaches the log again")
}

func TestAnOutageOfTheLogThatHostsDetectOneByOneExcludesNoHost(t *testing.T) {
	g := newGossiper()
	for i, unreachable := range [][]int{{0}, {0, 1}, {0, 1, 2}, {0, 1, 2, 3}, {0, 2, 3}, {0, 3}, {0}, {}} {
		at := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		assert.Len(t, g.excludeUnreachable(at, members(4, unreachable...)), 4, "step %d", i)
	}
}

func TestARestartedHostIsNotAStableOwner(t *testing.T) {
	g := newGossiper()
	list := members(3)
	list[1].Incarnation += uint64(time.Minute)
	stable := g.stable(list)
	assert.Len(t, stable, 2)
	assert.NotContains(t, stable, "host-1")
}

// A small host that owned 44 engines used up its CPU share in a burst while larger hosts were idle.
func TestHostsWithMuchLessCPUAreNotStableOwnersWhileLargerOnesServe(t *testing.T) {
	list := members(5)
	for i, power := range []int{134, 800, 134, 500, 134} {
		list[i].Power = power
	}
	g := newGossiper()
	stable := g.stable(list)
	assert.Len(t, stable, 2)
	assert.Contains(t, stable, "host-1")
	assert.Contains(t, stable, "host-3")
	assert.Len(t, g.stable([]tracker.Member{list[0], list[2], list[4]}), 3, "hosts of equal power")
	assert.Len(t, g.stable(members(3)), 3, "hosts of unknown power")
}
