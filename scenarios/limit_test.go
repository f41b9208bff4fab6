package scenarios

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

const (
	// limitContact is the time after which the hosts must keep a limit that an endpoint has stated.
	limitContact = 3 * time.Second
	// limitLoadTime is the duration of a load under limits.
	limitLoadTime = 9 * time.Second
	// limitLeadTime is the duration of the load before limits are stated.
	limitLeadTime = 2 * time.Second
)

// assertLimitsKept checks by what the endpoints received that the hosts together kept the limits.
func assertLimitsKept(t *testing.T, endpoints ...*emulator.Endpoint) {
	t.Helper()
	for i, e := range endpoints {
		excesses := e.LimitExcesses(limitContact)
		if len(excesses) == 0 {
			continue
		}
		worst := slices.MaxFunc(excesses, func(a, b emulator.Excess) int { return a.Requests - b.Requests })
		assert.Fail(t, "limit exceeded", "endpoint %d got %d requests in 4 s, %.0f allowed; %d windows", i, worst.Requests, worst.Allowed, len(excesses))
	}
}

// Each host sent to endpoints by their cost alone. Two of four endpoints stated limits and got as much as before from all
// hosts together, first sends included.
func TestHostsTogetherKeepTheRateLimitsOfEndpoints(t *testing.T) {
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 3, plain: 4})
	for _, c := range []struct {
		name, path string
		perSecond  int
		limited    []*emulator.Endpoint
	}{
		{name: "plain calls", path: "/lookup/1", perSecond: 50, limited: f.plain[:2]},
		{name: "generations", path: "/brief/1", perSecond: 24, limited: []*emulator.Endpoint{f.prefill[0], f.decode[0]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.load(limitLeadTime, c.perSecond, c.path)
			for _, e := range c.limited {
				e.SetLimit(3)
			}
			got := f.load(limitLoadTime, c.perSecond, c.path)
			t.Logf("sent %d, served %d, refused %d, failed %d", got.sent, got.served, got.refused, got.failed)
			assertLimitsKept(t, c.limited...)
			assert.GreaterOrEqual(t, got.served, got.sent*9/10, "the other endpoints have room")
			for _, e := range c.limited {
				e.WithdrawLimit()
			}
		})
	}
}
