package generator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

type noHosts struct{}

func (noHosts) Self() tracker.Member      { return tracker.Member{} }
func (noHosts) Serving() []tracker.Member { return nil }
func (noHosts) MaxServing() int           { return 1 }

// An engine repeated a refusal on a kept connection, and ran the request that it seemed to refuse.
func TestARefusalThatIsRepeatedOnAKeptConnectionRefusesNoLaterRequest(t *testing.T) {
	refused := make(map[string]bool)
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 || refused[r.RemoteAddr] {
			refused[r.RemoteAddr] = true
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer server.Close()
	g := New(Options{Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, 1)), Logs: hclog.NewNullLogger()})
	e := watcher.Endpoint{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	_, err := g.post(t.Context(), e, completer.Request{})
	var failed *EngineError
	require.ErrorAs(t, err, &failed)
	resp, err := g.post(t.Context(), e, completer.Request{})
	require.NoError(t, err)
	_ = resp.Body.Close()
}

// The fake clock never advances and there are no engines, so a refusal that waited for either would block forever.
func TestAConvictedRequestIsRefusedWithoutWaitingAndWithoutAnEngine(t *testing.T) {
	clock := clockwork.NewFakeClock()
	i := isolator.New(isolator.Options{
		RequestLimit: 2, PartLimit: 2, Random: rand.New(rand.NewPCG(2, 1)), Hosts: noHosts{}, Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope),
		Clock: clock, Logs: hclog.NewNullLogger(),
	})
	g := New(Options{Isolator: i, Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logs: hclog.NewNullLogger()})
	i.RecordCrash(isolator.Endpoint{ID: "engine-1"}, xxhash.Sum64String("poison"))
	i.RecordCrash(isolator.Endpoint{ID: "engine-2"}, xxhash.Sum64String("poison"))

	err := g.Generate(context.Background(), Request{Prompt: "poison"}, nil)

	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "request_convicted", refused.Code)
	require.False(t, refused.Executed)
}
