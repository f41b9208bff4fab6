package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

type noRules struct{}

func (noRules) Version() uint64      { return 0 }
func (noRules) File() publisher.File { return publisher.File{} }
func (noRules) Offer(publisher.File) {}

// newGossiper returns a gossiper of the host "self" at port 9.
func newSeededGossiper(seeds ...netip.AddrPort) *Gossiper {
	return New(Options{
		Self: tracker.Member{Name: "self", Address: addressAt(9)}, Seeds: seeds, Config: tracker.Config{Interval: time.Second, MaxUpdates: 6},
		Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope), Rules: noRules{},
		Random: rand.New(rand.NewPCG(1, 1)), Clock: clockwork.NewFakeClockAt(epoch), Logs: hclog.NewNullLogger(),
	})
}

func addressAt(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// A host that was started behind a cut knew itself only, and took the whole of what all hosts share.
func TestAHostThatHasReachedNoSeedDoesNotKnowByHowManyToDivide(t *testing.T) {
	assert.Equal(t, 1, newSeededGossiper().MaxServing(), "no seeds")
	assert.Equal(t, 1, newSeededGossiper(addressAt(9)).MaxServing(), "its own seed")
	assert.Zero(t, newSeededGossiper(addressAt(1), addressAt(9)).MaxServing())
}

func TestHostsThatAreNoLongerSeenKeepTheirShares(t *testing.T) {
	g := newSeededGossiper(addressAt(1))
	for _, state := range []tracker.State{tracker.Alive, tracker.Leaving} {
		m := tracker.Member{Name: "other", Address: addressAt(1), Callers: addressAt(1), Incarnation: 1, State: state}
		_, err := g.handleGossip(context.Background(), encoder.Gossip(tracker.Message{Answer: true, From: m}))
		require.NoError(t, err)
		assert.Equal(t, 2, g.MaxServing())
	}
	assert.Len(t, g.Serving(), 1)
}

func TestARestartedHostIsServingAtItsNewAddressImmediately(t *testing.T) {
	g := newSeededGossiper()
	member := func(port, incarnation int) tracker.Member {
		address := addressAt(uint16(port))
		return tracker.Member{Name: "other", Address: address, Callers: address, Incarnation: uint64(incarnation)}
	}
	old, restarted := member(1, 1), member(2, 2)
	for _, m := range []tracker.Member{old, restarted} {
		_, err := g.handleGossip(context.Background(), encoder.Gossip(tracker.Message{Answer: true, From: m}))
		require.NoError(t, err)
		assert.Contains(t, g.Serving(), m)
	}
	assert.NotContains(t, g.Serving(), old)
}
