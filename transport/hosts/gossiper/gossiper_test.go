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

func TestARestartedHostIsServingAtItsNewAddressImmediately(t *testing.T) {
	g := New(Options{
		Self: tracker.Member{Name: "self"}, Config: tracker.Config{Interval: time.Second, MaxUpdates: 6},
		Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope), Rules: noRules{},
		Random: rand.New(rand.NewPCG(1, 1)), Clock: clockwork.NewFakeClockAt(epoch), Logs: hclog.NewNullLogger(),
	})
	member := func(port, incarnation int) tracker.Member {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
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
