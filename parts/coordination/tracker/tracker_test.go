package tracker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

var testConfig = Config{
	Interval: time.Second, AnswerTimeout: 800 * time.Millisecond, SuspicionTimeout: 3 * time.Second, Retention: time.Minute, MaxUpdates: 6,
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// group delivers messages between trackers immediately, except to and from unreachable hosts.
type group struct {
	trackers    map[netip.AddrPort]*Tracker
	unreachable map[netip.AddrPort]bool
	messages    int
	now         time.Time
}

func newGroup(n int) *group {
	g := &group{trackers: make(map[netip.AddrPort]*Tracker), unreachable: make(map[netip.AddrPort]bool), now: epoch}
	for i := range n {
		self := Member{Name: fmt.Sprintf("host-%03d", i), Address: address(i), Incarnation: 1}
		g.trackers[address(i)] = New(testConfig, self, []netip.AddrPort{address(0)}, rand.New(rand.NewPCG(1, uint64(i))))
	}
	return g
}

func (g *group) at(i int) *Tracker { return g.trackers[address(i)] }

func (g *group) deliver(sends []Send) {
	for _, s := range sends {
		g.messages++
		if !g.unreachable[s.To] && !g.unreachable[s.Message.From.Address] {
			g.deliver(g.trackers[s.To].Receive(g.now, s.Message))
		}
	}
}

func (g *group) period() {
	g.now = g.now.Add(time.Second)
	for i := range len(g.trackers) {
		if !g.unreachable[address(i)] {
			g.deliver(g.at(i).Tick(g.now))
		}
	}
}

func (g *group) periods(n int) {
	for range n {
		g.period()
	}
}

func (g *group) state(of, seenBy int) State {
	for _, m := range g.at(seenBy).Members() {
		if m.Address == address(of) {
			return m.State
		}
	}
	return Dead
}

func TestHostsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	g := newGroup(20)
	g.periods(30)
	for i := range 20 {
		assert.Len(t, g.at(i).Members(), 19)
	}
}

func TestAnUnreachableHostIsSuspectedThenDeadAndRejoins(t *testing.T) {
	g := newGroup(12)
	g.periods(20)
	g.unreachable[address(5)] = true
	g.periods(25)
	for i := range 12 {
		if i != 5 {
			assert.Equal(t, Dead, g.state(5, i))
		}
	}
	g.unreachable[address(5)] = false
	g.periods(25)
	for i := range 12 {
		if i != 5 {
			assert.Equal(t, Alive, g.state(5, i))
		}
	}
}

func TestLeavingTakesPrecedenceOverADelayedAlive(t *testing.T) {
	g := newGroup(6)
	g.periods(10)
	alive := g.at(2).Self()
	g.at(2).Leave()
	g.periods(10)
	g.deliver(g.at(1).Receive(g.now, Message{Answer: true, From: g.at(3).Self(), Updates: []Member{alive}}))
	assert.Equal(t, Leaving, g.state(2, 1))
}

func TestTheSidesOfANetworkPartitionMergeAgain(t *testing.T) {
	g := newGroup(8)
	g.periods(15)
	for i := 4; i < 8; i++ {
		g.unreachable[address(i)] = true
	}
	g.periods(200)
	clear(g.unreachable)
	g.periods(40)
	for i := range 8 {
		for o := range 8 {
			if o != i {
				assert.Equal(t, Alive, g.state(o, i), "host %d seen by %d", o, i)
			}
		}
	}
}

func TestTrafficOfAHostDoesNotGrowWithTheNumberOfHosts(t *testing.T) {
	for _, n := range []int{12, 48, 190, 380} {
		g := newGroup(n)
		g.periods(40)
		g.messages = 0
		g.periods(20)
		assert.LessOrEqual(t, float64(g.messages)/float64(n)/20, 2.1, "%d hosts", n)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 48, 190, 380} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			g := newGroup(n)
			g.periods(40)
			tracker := g.at(0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				g.now = g.now.Add(time.Millisecond)
				tracker.Tick(g.now)
				clear(tracker.pending)
			}
		})
	}
}

func TestAHostThatReachesTheLogAgainGetsANewIncarnation(t *testing.T) {
	tr := New(testConfig, Member{Name: "a", Incarnation: uint64(epoch.UnixNano())}, nil, rand.New(rand.NewPCG(1, 2)))
	tr.SetLogUnreachable(epoch.Add(5*time.Second), true)
	assert.True(t, tr.Self().LogUnreachable)
	assert.Equal(t, uint64(epoch.UnixNano())+1, tr.Self().Incarnation, "the log was unreachable from the start")
	tr.SetLogUnreachable(epoch.Add(9*time.Second), false)
	assert.Equal(t, uint64(epoch.Add(9*time.Second).UnixNano()), tr.Self().Incarnation)
	before := tr.Self()
	tr.SetLogUnreachable(epoch.Add(10*time.Second), false)
	assert.Equal(t, before, tr.Self(), "nothing changed")
}

func TestAnUnansweredPingToAnOldAddressDoesNotSuspectTheHost(t *testing.T) {
	tr := New(testConfig, Member{Name: "self", Address: address(0)}, nil, rand.New(rand.NewPCG(1, 1)))
	tr.Receive(epoch, Message{Answer: true, From: Member{Name: "other", Address: address(1), Incarnation: 1}})
	tr.Tick(epoch) // pings the old address
	tr.Receive(epoch, Message{Answer: true, From: Member{Name: "third", Address: address(2), Incarnation: 1}, Updates: []Member{
		{Name: "other", Address: address(3), Incarnation: 2},
	}})
	tr.expirePings(epoch.Add(testConfig.AnswerTimeout))
	assert.Equal(t, Alive, tr.Members()[0].State)
}
