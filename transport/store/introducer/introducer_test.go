package introducer

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// store counts the entries that are written to it and returns positions of its current era.
type store struct {
	mu      sync.Mutex
	era     uint64
	written int
}

func (s *store) Newest(context.Context, string, string) (tailer.Page, error) {
	return tailer.Page{}, nil
}

func (s *store) Put(context.Context, string, string, []byte, *uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written++
	return replicator.Position(s.era, 0), nil
}

func (s *store) entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
}

// lastHost is the membership list of a host that has known another host and is the only one left.
type lastHost struct{}

func (lastHost) KnownHosts() int           { return 1 }
func (lastHost) Serving() []tracker.Member { return []tracker.Member{{Name: "host"}} }
func (lastHost) AddSeeds([]netip.AddrPort) {}

func TestAnIntroducerWritesItsEntryOncePerEraOfTheLog(t *testing.T) {
	clock, s := clockwork.NewFakeClock(), &store{}
	i := New(Options{Topic: "hosts", Host: "host", Store: s, Hosts: lastHost{}, Clock: clock, Logs: hclog.NewNullLogger()})
	ctx, cancel := context.WithCancel(context.Background())
	go i.Run(ctx)
	defer func() {
		cancel()
		<-i.Done()
	}()
	runCheck := func() {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(checkInterval)
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
	}
	for want := 1; want <= 3; want++ {
		runCheck()
		runCheck()
		require.Eventually(t, func() bool { return s.entries() == want }, time.Second, time.Millisecond)
		s.restore()
		i.SetEra(uint64(want))
	}
}
