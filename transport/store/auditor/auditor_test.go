package auditor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
)

// A stop with a full queue waited for ever for room in it.
func TestAStopDuringAnOutageOfTheLogTriesEachQueuedRecordOnce(t *testing.T) {
	var appends atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		appends.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	clock := clockwork.NewFakeClock()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	a := New("host", logclient.New(address), clock, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go a.Run(ctx)

	a.Record("ada", "rules.publish", "first", "")
	require.NoError(t, clock.BlockUntilContext(ctx, 1), "the first record waits for its next attempt")
	for range queueSize {
		a.Record("ada", "rules.publish", "further", "")
	}
	before := appends.Load()
	cancel()
	select {
	case <-a.Done():
	case <-time.After(30 * time.Second):
		require.Fail(t, "the auditor did not stop")
	}
	assert.EqualValues(t, 1+queueSize, appends.Load()-before)
}
