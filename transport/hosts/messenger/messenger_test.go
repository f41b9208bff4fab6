package messenger_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/lab/partitioner"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// callTimeout bounds one call.
	callTimeout = 100 * time.Millisecond
	// contactTime is how soon hosts must be in contact once the network between them works again.
	contactTime = 3 * time.Second
)

// start returns a Messenger that answers calls, and the address at which others reach it through p.
func start(t *testing.T, p *partitioner.Partitioner, name string) (*messenger.Messenger, netip.AddrPort) {
	m := messenger.New("key", hclog.NewNullLogger(), tally.NoopScope)
	m.Identify(name)
	messenger.Handle(m, "greet", func(context.Context, wire.Empty) (wire.Empty, error) { return wire.Empty{}, nil })
	server := httptest.NewServer(http.HandlerFunc(m.Accept))
	t.Cleanup(func() {
		m.Close()
		server.Close()
	})
	address, err := p.Forward(name, netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(t, err)
	return m, address
}

func call(ctx context.Context, m *messenger.Messenger, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := messenger.Call[wire.Empty, wire.Empty](ctx, m, to, "greet", wire.Empty{})
	return err
}

// A session that had lost messages in a cut stayed open and lost those after the cut too, for up to 15 s.
func TestHostsAreInContactSoonAfterANetworkCutOfAnyDuration(t *testing.T) {
	t.Parallel()
	for _, d := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			p := partitioner.New()
			t.Cleanup(p.Close)
			a, _ := start(t, p, "a")
			_, b := start(t, p, "b")
			require.NoError(t, call(t.Context(), a, b))
			p.SetGroup(1, "a")
			end := time.Now().Add(d)
			for time.Now().Before(end) {
				require.Error(t, call(t.Context(), a, b), "the hosts are cut off")
			}
			p.SetGroup(0, "a")
			require.Eventually(t, func() bool { return call(t.Context(), a, b) == nil }, contactTime, callTimeout/10)
		})
	}
}

// forwardWithPauses forwards one connection to address. No byte passes while the returned mutex is locked, and none is lost.
func forwardWithPauses(t *testing.T, address netip.AddrPort) (netip.AddrPort, *sync.Mutex) {
	var mu sync.Mutex
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 4<<10)
		for {
			n, err := from.Read(buffer)
			mu.Lock()
			_, _ = to.Write(buffer[:n])
			mu.Unlock()
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	go func() {
		from, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", address.String())
		if err != nil {
			_ = from.Close()
			return
		}
		go forward(to, from)
		forward(from, to)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &mu
}

func TestACallIsAnsweredAlthoughTheOtherHostPausedForLongerThanAProbe(t *testing.T) {
	t.Parallel()
	const pause = 2 * time.Second
	p := partitioner.New()
	t.Cleanup(p.Close)
	a, _ := start(t, p, "a")
	_, b := start(t, p, "b")
	paused, mu := forwardWithPauses(t, b)
	require.NoError(t, call(t.Context(), a, paused))
	mu.Lock()
	time.AfterFunc(pause, mu.Unlock)
	began := time.Now()
	_, err := messenger.Call[wire.Empty, wire.Empty](t.Context(), a, paused, "greet", wire.Empty{})
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(began), pause)
}
