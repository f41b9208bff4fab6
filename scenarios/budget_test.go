package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

const (
	// contactTime is contactMs of the hosts' settings.
	contactTime = 600 * time.Millisecond
	// maxCrashes is the number of engines that may end under requests with one part until the hosts must know the part.
	maxCrashes = 5
	// maxLateArrivals is how many requests with such a part may reach engines later than contactTime after the last of these crashes.
	maxLateArrivals = 3
	// minSoundShare is the share of their usual rate at which sound requests with the same first part must begin meanwhile.
	minSoundShare = 0.5
	// crashLoadTime is the duration of a load with a part that crashes engines, crashLeadTime that of the load before.
	crashLoadTime = 9 * time.Second
	crashLeadTime = 2 * time.Second
)

// soundPrompts are prompts of some subjects with a common first part.
func soundPrompts(n int) string { return fmt.Sprintf("ab:200,c%d:300,%x:1500", n%6, 0x10000+n) }

// promptsWith returns prompts that share the first part with sound ones, and another part with each other.
func promptsWith(part string) func(n int) string {
	return func(n int) string { return fmt.Sprintf("ab:200,%s:300,%x:1500", part, 0x20000+n) }
}

// provenAt returns from when on the hosts in touch must send nothing more with a part. It fails the test if no engine ended.
func provenAt(t *testing.T, c *emulator.Crashes, part string) time.Time {
	t.Helper()
	ended := c.Ended(part)
	require.NotEmpty(t, ended, part)
	return ended[min(maxCrashes, len(ended))-1].Add(contactTime)
}

// assertStopped checks that engines got no more than maxLateArrivals with a part, and that its callers were refused at once.
func assertStopped(t *testing.T, c *emulator.Crashes, part string, replies []reply) {
	t.Helper()
	after := provenAt(t, c, part)
	late := len(c.ArrivalsAfter(part, after))
	t.Logf("%s: %d engines ended, %d arrivals later", part, len(c.Ended(part)), late)
	assert.LessOrEqual(t, late, maxLateArrivals, part)
	asked := 0
	for _, r := range replies {
		if r.sentAt.After(after) {
			asked++
			assert.Equal(t, http.StatusServiceUnavailable, r.status, "%s: a request that was not sent to an engine", part)
			assert.Less(t, r.took, contactTime, part)
		}
	}
	assert.Greater(t, asked, 2*maxLateArrivals, "requests with the part went on")
}

// servedShare returns the share of the requests sent after a time that were served.
func servedShare(replies []reply, after time.Time) (share float64, n int) {
	served := 0
	for _, r := range replies {
		if r.sentAt.After(after) {
			n++
			if r.status == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, n)), n
}

// Requests that share a part of their prompts crashed engine after engine: no two of them are alike, and what the hosts knew of
// crashes was kept by whole requests.
func TestRequestsWithAPartThatCrashesEnginesAreStopped(t *testing.T) {
	t.Parallel()
	crashes := emulator.NewCrashes("bad1")
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 6, crashes: crashes})
	before, _ := servedShare(f.send(crashLeadTime, 30, "/brief/1", soundPrompts), time.Time{})
	var sound, bad []reply
	var loads sync.WaitGroup
	loads.Go(func() { bad = f.send(crashLoadTime, 5, "/brief/1", promptsWith("bad1")) })
	sound = f.send(crashLoadTime, 30, "/brief/1", soundPrompts)
	loads.Wait()
	assertStopped(t, crashes, "bad1", bad)
	during, n := servedShare(sound, provenAt(t, crashes, "bad1").Add(contactTime))
	t.Logf("sound requests served: %.2f before, %.2f of %d after", before, during, n)
	assert.GreaterOrEqual(t, n, 20)
	assert.GreaterOrEqual(t, during, minSoundShare*before)
}

// convictedText is in the answers to requests that are refused because of crashes.
const convictedText = "endpoints crashed while they ran such requests"

// countConvicted returns how many requests were refused because of crashes.
func countConvicted(replies []reply) int {
	n := 0
	for _, r := range replies {
		if strings.Contains(r.body, convictedText) {
			n++
		}
	}
	return n
}

// Two parts crash engines at the same time, one under streams that may be resumed at another engine.
func TestTwoPartsThatCrashEnginesAreStoppedAlsoWhereStreamsMayBeResumed(t *testing.T) {
	t.Parallel()
	crashes := emulator.NewCrashes("bad1", "bad2")
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 8, crashes: crashes})
	f.send(crashLeadTime, 30, "/brief/1", soundPrompts)
	var sound, brief, scope []reply
	var loads sync.WaitGroup
	loads.Go(func() { brief = f.send(crashLoadTime, 5, "/brief/1", promptsWith("bad1")) })
	loads.Go(func() { scope = f.send(crashLoadTime, 5, "/scope/1", promptsWith("bad2")) })
	sound = f.send(crashLoadTime, 30, "/scope/1", soundPrompts)
	loads.Wait()
	assertStopped(t, crashes, "bad1", brief)
	assertStopped(t, crashes, "bad2", scope)
	during, n := servedShare(sound, provenAt(t, crashes, "bad2").Add(contactTime))
	t.Logf("sound requests served: %.2f of %d after", during, n)
	assert.GreaterOrEqual(t, during, minSoundShare)
	assert.Zero(t, countConvicted(sound))
}

// Requests with the part wait for a place when the part is convicted, because all engines are in use or have ended.
func TestWaitingRequestsWithAPartThatCrashesEnginesAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	crashes := emulator.NewCrashes("bad1")
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 3, crashes: crashes})
	f.send(crashLeadTime, 20, "/brief/1", soundPrompts)
	bad := f.send(crashLoadTime, 40, "/brief/1", promptsWith("bad1"))
	assertStopped(t, crashes, "bad1", bad)
}

// One host is cut off from the other hosts while a part crashes engines, one is suspended, and one starts later. None of them
// has seen a crash.
func TestHostsThatWereAwayStopTheSameRequests(t *testing.T) {
	t.Parallel()
	crashes := emulator.NewCrashes("bad1")
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 6, crashes: crashes})
	f.send(crashLeadTime, 30, "/brief/1", soundPrompts)
	cut, suspended := 5, 4
	f.partition.SetGroup(1, f.hosts[cut].Name)
	require.NoError(t, f.hosts[suspended].Signal(syscall.SIGSTOP))
	f.only = []int{0, 1, 2, 3}
	f.send(4*time.Second, 5, "/brief/1", promptsWith("bad1"))
	proven := provenAt(t, crashes, "bad1")
	require.NoError(t, f.hosts[suspended].Signal(syscall.SIGCONT))
	f.partition.SetGroup(0, f.hosts[cut].Name)
	f.addHost("front-6")
	f.awaitReady()
	time.Sleep(contactTime)
	for _, host := range []int{cut, suspended, 6} {
		f.only = []int{host}
		for _, r := range f.send(time.Second, 10, "/brief/1", promptsWith("bad1")) {
			assert.Equal(t, http.StatusServiceUnavailable, r.status, f.hosts[host].Name)
			assert.Contains(t, r.body, convictedText, f.hosts[host].Name)
		}
		sound, _ := servedShare(f.send(time.Second, 10, "/brief/1", soundPrompts), time.Time{})
		assert.GreaterOrEqual(t, sound, minSoundShare, f.hosts[host].Name)
	}
	t.Logf("%d engines ended, %d arrivals later", len(crashes.Ended("bad1")), len(crashes.ArrivalsAfter("bad1", proven)))
	assert.LessOrEqual(t, len(crashes.ArrivalsAfter("bad1", proven)), maxLateArrivals)
}

// Engines end one after the other and in groups, under sound requests that share parts.
func TestSoundRequestsAreNotBlamedForEnginesThatEndForOtherReasons(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 6, prefill: 2, decode: 6, crashes: emulator.NewCrashes()})
	done := make(chan []reply, 1)
	go func() { done <- f.send(crashLoadTime, 40, "/brief/1", soundPrompts) }()
	for _, group := range [][]int{{0}, {1}, {2}, {3, 4, 5}, {0, 1, 2, 3}, {4}, {0, 1, 2, 3, 4, 5}} {
		time.Sleep(time.Second)
		for _, i := range group {
			go f.decode[i].Crash()
		}
	}
	replies := <-done
	served, n := servedShare(replies, time.Time{})
	t.Logf("%.2f of %d served", served, n)
	assert.Zero(t, countConvicted(replies))
	restarted := time.Now().Add(crashLeadTime)
	last, _ := servedShare(f.send(crashLeadTime+time.Second, 20, "/brief/1", soundPrompts), restarted)
	assert.GreaterOrEqual(t, last, minSoundShare, "after the last end")
}
