package permitter

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// sharingHosts is the number of hosts that share limits in these tests.
const sharingHosts = 4

// fakeHosts is the membership as one host sees it: "owner" owns all services.
type fakeHosts struct {
	self        string
	owner       tracker.Member
	hasMajority atomic.Bool
}

func (h *fakeHosts) StableOwner(string, func(string) bool) (tracker.Member, bool) {
	return h.owner, h.self == h.owner.Name
}
func (h *fakeHosts) Serving() []tracker.Member { return []tracker.Member{h.owner} }
func (h *fakeHosts) HasMajority() bool         { return h.hasMajority.Load() }
func (h *fakeHosts) Unreachable() int          { return 0 }

// node is a host with its permitter and one endpoint, which has a rate limit.
type node struct {
	*Permitter
	hosts    *fakeHosts
	endpoint *discoverer.Endpoint
	listener *listener.Listener
}

// newNode returns a host that takes owner for the owner, or itself if owner is nil.
func newNode(t *testing.T, name string, owner *node) *node {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	n := &node{hosts: &fakeHosts{self: name}}
	n.hosts.hasMajority.Store(true)
	m := messenger.New("key", logs, tally.NoopScope)
	list := discoverer.New(nil, clock, logs)
	list.Put(enroller.Endpoint{ID: "e", Service: "orders", Address: netip.MustParseAddrPort("127.0.0.1:1"), IncarnationStart: time.UnixMilli(5)}, 1)
	n.Permitter = New(Options{
		Host: name, Hosts: n.hosts, Messenger: m, Endpoints: list, MaxHosts: func() int { return sharingHosts },
		Clock: clock, Logs: logs, Scope: tally.NoopScope,
	})
	n.endpoint = list.Service("orders")[0]
	var err error
	n.listener, err = listener.Listen(listener.Options{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.1:0"), Routes: []rest.Route{{Method: http.MethodGet, Path: messenger.Path, Handler: m.Accept}},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		n.listener.Close()
		m.Close()
	})
	n.hosts.owner = tracker.Member{Name: name, Address: n.listener.Address()}
	if owner != nil {
		n.hosts.owner = owner.hosts.owner
	}
	list.OnLimit(n.ReportLimit)
	return n
}

func (n *node) state(perSecond float64) {
	n.Endpoints.ApplyNotice(n.endpoint, discoverer.Notice{HasLimit: true, Limit: perSecond})
}

// permits returns how many of n requests are permitted at once, and the last refusal.
func (n *node) permits(requests int) (permitted int, refused *sender.LimitError) {
	for range requests {
		if _, err := n.Acquire(context.Background(), "orders", []*discoverer.Endpoint{n.endpoint}, 0); err == nil {
			permitted++
		} else {
			refused = err.(*sender.LimitError)
		}
	}
	return permitted, refused
}

func TestTheOwnerPermitsTheRequestsOfAllHostsFromOneLimit(t *testing.T) {
	owner := newNode(t, "owner", nil)
	others := []*node{newNode(t, "a", owner), newNode(t, "b", owner)}
	others[0].state(6)
	require.Eventually(t, func() bool { return owner.endpoint.Limit().IsSet }, 5*time.Second, time.Millisecond, "reported to the owner")
	others[1].state(6)
	total := 0
	for _, n := range append(others, owner) {
		permitted, refused := n.permits(5)
		total += permitted
		if refused != nil {
			assert.Positive(t, refused.RetryAfter)
		}
	}
	assert.GreaterOrEqual(t, total, 6, "a second's requests are saved")
	assert.LessOrEqual(t, total, 8)
}

func TestAHostThatDoesNotReachTheOwnerUsesItsShareOnly(t *testing.T) {
	for name, lose := range map[string]func(owner *node){
		"no answer":                  func(owner *node) { owner.listener.Close(); owner.Messenger.Close() },
		"owner without a majority":   func(owner *node) { owner.hosts.hasMajority.Store(false) },
		"owner takes another for it": func(owner *node) { owner.hosts.self = "former owner" },
	} {
		t.Run(name, func(t *testing.T) {
			owner := newNode(t, "owner", nil)
			n := newNode(t, "a", owner)
			lose(owner)
			n.state(100)
			permitted, refused := n.permits(50)
			assert.LessOrEqual(t, permitted, 2, "one for each 80 ms")
			assert.NotNil(t, refused)
		})
	}
}

func TestAWithdrawnLimitIsReportedToHostsThatAskForPermits(t *testing.T) {
	owner := newNode(t, "owner", nil)
	n := newNode(t, "a", owner)
	n.state(1)
	require.Eventually(t, func() bool { return owner.endpoint.Limit().IsSet }, 5*time.Second, time.Millisecond)
	owner.Endpoints.ApplyAnswerLimit(owner.endpoint, discoverer.Notice{}, time.Now().Add(time.Second))
	require.False(t, owner.endpoint.Limit().IsSet)
	permitted, _ := n.permits(20)
	assert.Equal(t, 20, permitted)
	assert.False(t, n.endpoint.Limit().IsSet)
}

func TestARequestWaitsForItsPermitUpToTheGivenTime(t *testing.T) {
	owner := newNode(t, "owner", nil)
	owner.state(10)
	owner.permits(12)
	began := time.Now()
	_, err := owner.Acquire(context.Background(), "orders", []*discoverer.Endpoint{owner.endpoint}, 300*time.Millisecond)
	require.NoError(t, err)
	assert.Greater(t, time.Since(began), 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = owner.Acquire(ctx, "orders", []*discoverer.Endpoint{owner.endpoint}, time.Second)
	assert.ErrorIs(t, err, context.Canceled)
}
