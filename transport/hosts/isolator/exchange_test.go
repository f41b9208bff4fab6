package isolator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// verdictTime is the time in which all hosts must know a verdict: contactMs of the smallest deployment.
	verdictTime = 3 * time.Second
	// quietTime is how long a test waits for a verdict that must not come.
	quietTime = 500 * time.Millisecond
)

// group is the membership of hosts that tests can cut off from each other.
type group struct {
	mu      sync.Mutex
	members []tracker.Member
	cut     map[string]bool
}

func (g *group) setCut(name string, isCut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[name] = isCut
}

// view is the membership as one host sees it.
type view struct {
	group *group
	self  int
}

func (v view) Self() tracker.Member { return v.group.members[v.self] }

func (v view) MaxServing() int { return len(v.group.members) }

func (v view) Serving() []tracker.Member {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	self := v.group.members[v.self].Name
	return slices.DeleteFunc(slices.Clone(v.group.members), func(m tracker.Member) bool {
		return m.Name != self && (v.group.cut[m.Name] || v.group.cut[self])
	})
}

// startHosts starts the isolators of n hosts that exchange messages.
func startHosts(t *testing.T, n int) (*group, []*Isolator) {
	g := &group{cut: make(map[string]bool)}
	var messengers []*messenger.Messenger
	for i := range n {
		m := messenger.New("key", hclog.NewNullLogger(), tally.NoopScope)
		server := httptest.NewServer(http.HandlerFunc(m.Accept))
		t.Cleanup(server.Close)
		t.Cleanup(m.Close)
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		g.members = append(g.members, tracker.Member{Name: fmt.Sprint("host-", i), Address: address})
		messengers = append(messengers, m)
	}
	var hosts []*Isolator
	for i := range n {
		isolate := New(Options{
			RequestLimit: 3, PartLimit: 3, Retention: time.Minute, ContactTime: verdictTime, Hosts: view{group: g, self: i}, Messenger: messengers[i],
			Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(uint64(i), 1)), Logs: hclog.NewNullLogger(),
		})
		go isolate.Run(context.Background())
		t.Cleanup(isolate.Close)
		hosts = append(hosts, isolate)
	}
	return g, hosts
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

const (
	firstPart = 0xab
	badPart   = 0xbad
)

// interruptAt has an engine end under a request of its own at one host, with the first part and another one.
func interruptAt(t *testing.T, host *Isolator, n int) {
	host.RecordInterruption(
		Endpoint{ID: fmt.Sprint("engine-", n), Start: time.UnixMilli(int64(n + 1)), Address: closedAddress(t)},
		Work{Request: uint64(n), Parts: []uint64{firstPart, badPart}},
	)
	time.Sleep(2 * burstTime)
}

func isBad(host *Isolator) bool {
	return host.IsConvicted(Work{Request: 999, Parts: []uint64{firstPart, badPart}})
}

func awaitVerdict(t *testing.T, hosts ...*Isolator) {
	t.Helper()
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(hosts, func(i *Isolator) bool { return !isBad(i) })
	}, verdictTime, 5*time.Millisecond)
}

// Two hosts saw one crash each of what a third one had seen once, and each took the higher count.
func TestEndsThatDifferentHostsSeeAddUpOnAllHosts(t *testing.T) {
	_, hosts := startHosts(t, 4)
	for n := range 3 {
		interruptAt(t, hosts[n], n)
	}
	awaitVerdict(t, hosts...)
	for _, i := range hosts {
		assert.False(t, i.IsConvicted(Work{Request: 1000, Parts: []uint64{firstPart, 0x50}}), "the part that sound requests share")
	}
}

func TestAnEndThatSeveralHostsSeeCountsOnce(t *testing.T) {
	_, hosts := startHosts(t, 4)
	for _, host := range hosts {
		interruptAt(t, host, 0)
	}
	time.Sleep(quietTime)
	for _, host := range hosts {
		assert.False(t, isBad(host))
	}
}

func TestARequestThatWaitsEndsWithTheVerdict(t *testing.T) {
	_, hosts := startHosts(t, 3)
	work := Work{Request: 5, Parts: []uint64{firstPart, badPart}}
	ctx, release := hosts[2].Guard(context.Background(), work)
	defer release()
	sound, releaseSound := hosts[2].Guard(context.Background(), Work{Request: 6, Parts: []uint64{firstPart, 0x50}})
	defer releaseSound()
	for n := range 3 {
		interruptAt(t, hosts[0], n)
	}
	select {
	case <-ctx.Done():
	case <-time.After(verdictTime):
		t.Fatal("the request still waits")
	}
	var convicted *ConvictedError
	require.ErrorAs(t, context.Cause(ctx), &convicted)
	assert.Equal(t, work, convicted.Work)
	assert.NoError(t, sound.Err())
	late, releaseLate := hosts[2].Guard(context.Background(), work)
	defer releaseLate()
	assert.ErrorAs(t, context.Cause(late), &convicted, "after the verdict")
}

func TestAHostThatWasCutOffLearnsTheVerdictWithinTheContactTime(t *testing.T) {
	g, hosts := startHosts(t, 4)
	g.setCut("host-3", true)
	for n := range 3 {
		interruptAt(t, hosts[n], n)
	}
	awaitVerdict(t, hosts[:3]...)
	assert.False(t, isBad(hosts[3]))
	g.setCut("host-3", false)
	awaitVerdict(t, hosts[3])
}

// A host was suspended while engines ended. It read all messages at once when it went on, and took the ends for one burst.
func TestAHostThatReadsMessagesLateLearnsWhenTheEndsWere(t *testing.T) {
	g, hosts := startHosts(t, 4)
	g.setCut("host-3", true)
	for n := range 3 {
		interruptAt(t, hosts[n], n)
	}
	awaitVerdict(t, hosts[:3]...)
	late, _ := hosts[0].evidence()
	for n := range late.Ends {
		late.Ends[n].Age = 0
	}
	hosts[3].merge(late)
	time.Sleep(quietTime)
	assert.False(t, isBad(hosts[3]))
	g.setCut("host-3", false)
	awaitVerdict(t, hosts[3])
}

// A host that lost its connections to engines would have convicted what it had just sent.
func TestAHostThatAloneLosesItsEnginesConvictsNothing(t *testing.T) {
	_, hosts := startHosts(t, 4)
	for n := range 6 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		id := fmt.Sprint("engine-", n)
		hosts[0].RecordInterruption(
			Endpoint{ID: id, Start: time.UnixMilli(1), Address: l.Addr().(*net.TCPAddr).AddrPort()}, Work{Request: uint64(n), Parts: []uint64{firstPart, badPart}},
		)
		hosts[0].RecordRemoval(id)
		time.Sleep(2 * burstTime)
	}
	time.Sleep(quietTime)
	for _, host := range hosts {
		assert.False(t, isBad(host))
	}
}

func TestOutputAtAnotherHostAcquitsAPart(t *testing.T) {
	for name, isBefore := range map[string]bool{"before the ends": true, "after the verdict": false} {
		_, hosts := startHosts(t, 4)
		if isBefore {
			hosts[3].RecordOutput([]uint64{firstPart, badPart})
		}
		for n := range 3 {
			interruptAt(t, hosts[0], n)
		}
		if !isBefore {
			awaitVerdict(t, hosts...)
			hosts[3].RecordOutput([]uint64{firstPart, badPart})
		}
		require.Eventually(t, func() bool { return !slices.ContainsFunc(hosts, isBad) }, verdictTime, 5*time.Millisecond, name)
		time.Sleep(quietTime)
		assert.False(t, slices.ContainsFunc(hosts, isBad), name)
	}
}
