package scenarios

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

const (
	// limitContact is the time after which the hosts must keep a limit that an endpoint has stated.
	limitContact = 3 * time.Second
	// limitLoadTime is the duration of a load under limits.
	limitLoadTime = 9 * time.Second
	// limitLeadTime is the duration of the load before limits are stated.
	limitLeadTime = 2 * time.Second
	// minLimitUse is the share of a limit that must be used while there are more requests.
	minLimitUse = 0.75
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

// arrivals returns how many requests an endpoint got since a time, and how many a second.
func arrivals(e *emulator.Endpoint, since time.Time) (n int, perSecond float64) {
	list, _, _ := e.LimitHistory()
	for _, a := range list {
		if a.At.After(since) {
			n++
		}
	}
	return n, float64(n) / time.Since(since).Seconds()
}

// Each host sent to endpoints by their cost alone. Two of four endpoints stated limits and got as much as before from all
// hosts together, first sends included.
func TestHostsTogetherKeepTheRateLimitsOfEndpoints(t *testing.T) {
	t.Parallel()
	const limit = 3
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
				e.SetLimit(limit)
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

func TestTheLimitsOfAllEndpointsAreUsedAndOtherRequestsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		limit      float64
		size       fleetSize
	}{
		{name: "at-most-once calls", path: "/submit/1", limit: 6, size: fleetSize{hosts: 6, plain: 3}},
		{name: "generations", path: "/brief/1", limit: 4, size: fleetSize{hosts: 6, prefill: 2, decode: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, c.size)
			limited := slices.Concat(f.plain, f.prefill, f.decode)
			f.load(limitLeadTime, 24, c.path)
			for _, e := range limited {
				e.SetLimit(c.limit)
			}
			f.load(limitContact, 40, c.path)
			since := time.Now()
			got := f.load(limitLoadTime, 40, c.path)
			t.Logf("sent %d, served %d, refused %d, half of them after %s, 19 of 20 after %s, failed %d", got.sent, got.served, got.refused,
				got.refusalTime(0.5), got.refusalTime(0.95), got.failed)
			assertLimitsKept(t, limited...)
			for i, e := range limited {
				_, perSecond := arrivals(e, since)
				t.Logf("endpoint %d got %.1f a second of %.0f", i, perSecond, c.limit)
				if len(f.plain) > 0 { // engines of the other stage may limit a generation
					assert.GreaterOrEqual(t, perSecond, minLimitUse*c.limit, "endpoint %d", i)
				}
			}
			assert.Zero(t, got.failed)
		})
	}
}

// Each cut separates two hosts from the others, one of the cuts the owner of the service. Nobody tells the endpoint.
func TestHostsThatAreCutOffFromEachOtherKeepTheRateLimits(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 2, plain: 2})
	limited := []*emulator.Endpoint{f.plain[0], f.plain[1], f.decode[0]}
	loads := func(d time.Duration) {
		done := make(chan counts, 1)
		go func() { done <- f.load(d, 16, "/brief/1") }()
		got := f.load(d, 40, "/lookup/1")
		t.Logf("calls: sent %d, served %d, refused %d, failed %d", got.sent, got.served, got.refused, got.failed)
		got = <-done
		t.Logf("generations: sent %d, served %d, refused %d, failed %d", got.sent, got.served, got.refused, got.failed)
	}
	loads(limitLeadTime)
	for _, e := range limited {
		e.SetLimit(4)
	}
	loads(limitContact)
	for i := 0; i < len(f.hosts); i += 2 {
		f.partition.SetGroup(1, f.hosts[i].Name, f.hosts[i+1].Name)
		loads(3 * time.Second)
		f.partition.SetGroup(0, f.hosts[i].Name, f.hosts[i+1].Name)
		loads(2 * time.Second)
	}
	since := time.Now()
	loads(3 * time.Second)
	assertLimitsKept(t, limited...)
	for i, e := range limited[:2] {
		n, perSecond := arrivals(e, since)
		t.Logf("endpoint %d got %d, %.2f a second of 4, after the cuts", i, n, perSecond)
		assert.GreaterOrEqual(t, perSecond, minLimitUse*4, "endpoint %d after the cuts", i)
	}
}

// Each host in turn is stopped, killed or suspended while the others serve, the owner of the services among them. Restarted
// hosts know nothing of the limits.
func TestTheRateLimitsAreKeptWhileHostsAreRestartedAndSuspended(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 2, plain: 2})
	limited := []*emulator.Endpoint{f.plain[0], f.plain[1], f.decode[0]}
	for _, e := range limited {
		e.SetLimit(4)
	}
	ctx, stop := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for path, perSecond := range map[string]int{"/lookup/1": 40, "/brief/1": 16} {
		loads.Go(func() {
			for ctx.Err() == nil {
				got := f.load(limitContact, perSecond, path)
				t.Logf("%s: sent %d, served %d, refused %d, failed %d", path, got.sent, got.served, got.refused, got.failed)
			}
		})
	}
	for i, h := range f.hosts {
		time.Sleep(time.Second)
		if i%3 == 2 {
			require.NoError(t, h.Signal(syscall.SIGSTOP))
			time.Sleep(2 * time.Second)
			require.NoError(t, h.Signal(syscall.SIGCONT))
			continue
		}
		require.NoError(t, h.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[i%3]))
		<-h.Exited()
		require.NoError(t, h.Restart(ctx))
	}
	stop()
	loads.Wait()
	f.awaitReady()
	f.load(limitContact, 40, "/lookup/1")
	since := time.Now()
	f.load(limitContact, 40, "/lookup/1")
	assertLimitsKept(t, limited...)
	for i, e := range limited[:2] {
		_, perSecond := arrivals(e, since)
		assert.GreaterOrEqual(t, perSecond, minLimitUse*4, "endpoint %d after the restarts", i)
	}
}

// A host that starts behind a cut knows no other host. It must not take the limit for its own.
func TestAHostThatStartsWithoutContactToOthersKeepsTheRateLimits(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 3, plain: 2})
	f.plain[0].SetLimit(3)
	f.plain[1].SetLimit(3)
	f.load(limitContact, 30, "/lookup/1")
	f.partition.SetGroup(1, "front-3")
	f.addHost("front-3")
	got := f.load(limitLoadTime, 40, "/lookup/1")
	t.Logf("sent %d, served %d, refused %d, failed %d", got.sent, got.served, got.refused, got.failed)
	assertLimitsKept(t, f.plain...)
}

func TestAChangedOrWithdrawnRateLimitAppliesOnAllHosts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 6, plain: 2})
	for _, e := range f.plain {
		e.SetLimit(12)
	}
	f.load(limitContact, 40, "/lookup/1")
	for _, limit := range []float64{2, 8} {
		for _, e := range f.plain {
			e.SetLimit(limit)
		}
		f.load(limitContact, 40, "/lookup/1")
		since := time.Now()
		f.load(limitWindowTime, 40, "/lookup/1")
		for i, e := range f.plain {
			_, perSecond := arrivals(e, since)
			t.Logf("endpoint %d got %.1f a second of %.0f", i, perSecond, limit)
			assert.GreaterOrEqual(t, perSecond, minLimitUse*limit, "endpoint %d", i)
		}
	}
	assertLimitsKept(t, f.plain...)
	for _, e := range f.plain {
		e.WithdrawLimit()
	}
	f.load(time.Second, 40, "/lookup/1")
	got := f.load(limitLeadTime, 40, "/lookup/1")
	assert.Equal(t, got.sent, got.served, "no limit")
}

// limitWindowTime is the span in which endpoints compare requests with their limits.
const limitWindowTime = 4 * time.Second

// All first sends fail at the endpoint without a limit, so that the other one gets second sends only: of calls after a
// failure, of at-most-once calls after a refusal, and of streams that are resumed.
func TestSecondSendsAndResumedStreamsCountAgainstTheRateLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		size       fleetSize
		fault      emulator.Fault
	}{
		{name: "calls", path: "/lookup/1", size: fleetSize{hosts: 6, plain: 2}, fault: emulator.Fail},
		{name: "refused calls", path: "/lookup/1", size: fleetSize{hosts: 6, plain: 2}, fault: emulator.Refuse},
		{name: "resumed streams", path: "/scope/1", size: fleetSize{hosts: 6, prefill: 1, decode: 2}, fault: emulator.Truncate},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, c.size)
			endpoints := slices.Concat(f.plain, f.decode)
			endpoints[0].SetFault(c.fault)
			endpoints[1].SetLimit(2)
			f.load(limitLeadTime, 50, c.path)
			got := f.load(limitLoadTime, 50, c.path)
			t.Logf("sent %d, served %d, refused %d, failed %d", got.sent, got.served, got.refused, got.failed)
			assertLimitsKept(t, endpoints[1])
		})
	}
}
