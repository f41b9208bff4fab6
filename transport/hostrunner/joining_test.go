package hostrunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/hostlistserver"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
	"github.com/hornbeamspan/hornbeamspan/lab/logserver"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
)

// starts is the number of clusters that are started, each with a different random order and seed hosts.
const starts = 50

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func startHost(t *testing.T, name string, log, hosts netip.AddrPort, seeds []netip.AddrPort, seed uint64) *Host {
	h, err := Start(Config{
		Name: name, DataCentre: "z", Callers: anyPort, Operators: anyPort, Peers: anyPort, Seeds: seeds, Log: log, Hosts: hosts,
		PeerKey: "k", OperatorKey: "o", Policy: "book", OnceStreams: 4, OnceRetention: time.Hour, HostListInterval: time.Second,
		LoadInterval: time.Second, MeanSlotTime: time.Second, HeartbeatInterval: time.Second, SuspicionTimeout: 3 * time.Second,
		DrainTimeout: time.Second, Seed: seed,
	}, hclog.NewNullLogger())
	require.NoError(t, err)
	return h
}

// publishAt publishes the first rule file at a host and returns its verdict.
func publishAt(t *testing.T, h *Host) administrator.Verdict {
	body, err := json.Marshal(administrator.Publication{ID: "first", Author: "test", Text: launcher.Rules(launcher.DefaultTargets)})
	require.NoError(t, err)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/rules", h.Operators()), bytes.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer o")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	var v administrator.Verdict
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&v))
	return v
}

func TestFirstRulesAreConfirmedByEveryHostInAnyStartOrder(t *testing.T) {
	for seed := range uint64(starts) {
		random := rand.New(rand.NewPCG(seed, 1))
		log, err := listener.Listen(listener.Options{
			Name: "log", Address: anyPort, Routes: logserver.New(logserver.Options{Rate: limiter.Rate{PerSecond: 400, Burst: 100}}).Routes(),
		})
		require.NoError(t, err)
		list, err := listener.Listen(listener.Options{Name: "hosts", Address: anyPort, Routes: hostlistserver.New(0).Routes()})
		require.NoError(t, err)
		var hosts []*Host
		for i := range 4 {
			var seeds []netip.AddrPort
			if i > 0 {
				seeds = append(seeds, hosts[random.IntN(len(hosts))].Peers())
			}
			hosts = append(hosts, startHost(t, fmt.Sprintf("host-%d", i), log.Address(), list.Address(), seeds, seed))
		}
		v := publishAt(t, hosts[random.IntN(len(hosts))])
		assert.Equal(t, administrator.Accepted, v.Verdict, "seed %d", seed)
		assert.Len(t, v.InForce, len(hosts), "seed %d: %+v", seed, v)
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			h.Close(ctx)
			cancel()
		}
		log.Close()
		list.Close()
	}
}
