package registrar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
	"github.com/zeromicro/go-zero/rest"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

var errDown = errors.New("the log is down")

// fakeLog is a log in memory that can be down and be restored from its oldest copy.
type fakeLog struct {
	mu      sync.Mutex
	era     uint64
	records map[string][]tailer.Record
	isDown  bool
	calls   int
}

func (l *fakeLog) begin() error {
	l.calls++
	if l.isDown {
		return errDown
	}
	return nil
}

func (l *fakeLog) end(topic string) uint64 {
	return replicator.Position(l.era, uint64(len(l.records[topic])))
}

func (l *fakeLog) Newest(_ context.Context, topic, _ string) (tailer.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin(); err != nil {
		return tailer.Page{}, err
	}
	newest := make(map[string]tailer.Record)
	for _, r := range l.records[topic] {
		newest[r.Key] = r
	}
	page := tailer.Page{End: l.end(topic)}
	for _, r := range newest {
		r.Offset = replicator.Position(l.era, replicator.Offset(r.Offset))
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (l *fakeLog) Read(_ context.Context, topic string, from uint64, _ time.Duration) ([]tailer.Record, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin(); err != nil {
		return nil, 0, err
	}
	if replicator.Era(from) != l.era {
		return nil, 0, &tailer.ExpiredError{Topic: topic, First: replicator.Position(l.era, 0)}
	}
	return l.records[topic][replicator.Offset(from):], l.end(topic), nil
}

func (l *fakeLog) Put(_ context.Context, topic, key string, value []byte, end *uint64) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin(); err != nil {
		return 0, err
	}
	position := l.end(topic)
	if end != nil && *end != position {
		return 0, errors.New("the topic has another end")
	}
	l.records[topic] = append(l.records[topic], tailer.Record{Key: key, Value: value, Offset: position})
	return position, nil
}

func (l *fakeLog) setDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// restore drops the newest records of a topic.
func (l *fakeLog) restore(topic string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	l.records[topic] = l.records[topic][:keep]
}

func (l *fakeLog) count(topic string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records[topic])
}

// origins returns the number of origins of a stream in the log.
func (l *fakeLog) origins(k attributor.Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[attributor.Origin]bool)
	for _, r := range l.records[originTopic] {
		streams, _ := decodeOrigins(r.Value)
		for o, keys := range streams {
			found[o] = found[o] || slices.Contains(keys, k)
		}
	}
	n := 0
	for _, ok := range found {
		if ok {
			n++
		}
	}
	return n
}

type fakeHosts struct {
	mu    sync.Mutex
	self  string
	owner tracker.Member
}

func (h *fakeHosts) StableOwner(string, func(string) bool) (tracker.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner, h.self == h.owner.Name
}
func (h *fakeHosts) HasMajority() bool { return true }

// node is a host with its registrar.
type node struct {
	*Registrar
	hosts    *fakeHosts
	address  netip.AddrPort
	listener *listener.Listener
	stop     context.CancelFunc
}

const (
	versionTopic = "versions"
	originTopic  = "origins"
)

func newNode(t *testing.T, name string, log *fakeLog, versions ...string) *node {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	n := &node{hosts: &fakeHosts{self: name, owner: tracker.Member{Name: name}}}
	m := messenger.New("key", logs, tally.NoopScope)
	list := discoverer.New(nil, clock, logs)
	for i, v := range versions {
		list.Put(enroller.Endpoint{ID: fmt.Sprint("e", i), Service: "writer", Version: v, Address: netip.MustParseAddrPort("127.0.0.1:1")}, uint64(i+1))
	}
	n.Registrar = New(Options{
		VersionTopic: versionTopic, OriginTopic: originTopic, IsFirstStart: true, Hosts: n.hosts, Messenger: m, Endpoints: list, Store: log,
		Services: func() []string { return []string{"writer"} }, Clock: clock, Logs: logs, Scope: tally.NoopScope,
	})
	var err error
	n.listener, err = listener.Listen(listener.Options{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.1:0"), Routes: []rest.Route{{Method: http.MethodGet, Path: messenger.Path, Handler: m.Accept}},
	})
	require.NoError(t, err)
	n.address = n.listener.Address()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = func() {
		cancel()
		n.listener.Close()
		m.Close()
	}
	t.Cleanup(n.stop)
	tail := tailer.New(tailer.Options{Log: log, Topic: versionTopic, Sink: n.Registrar, Clock: clock, Logs: logs})
	go tail.Run(ctx)
	go n.Run(ctx)
	return n
}

func (n *node) setOwner(owner *node) {
	n.hosts.mu.Lock()
	defer n.hosts.mu.Unlock()
	n.hosts.owner = tracker.Member{Name: owner.hosts.self, Address: owner.address}
}

func (n *node) resolve(k attributor.Key) (attributor.Origin, error) {
	return n.Resolve(context.Background(), []string{"writer"}, k)
}

func origin(version string) attributor.Origin {
	return attributor.Origin{Service: "writer", Version: version}
}

func endpointOf(version string) enroller.Endpoint {
	return enroller.Endpoint{ID: "e", Service: "writer", Version: version, IncarnationStart: time.Now().Add(-time.Minute)}
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	require.Eventually(t, check, 5*time.Second, 5*time.Millisecond, what)
}

func newLog() *fakeLog { return &fakeLog{records: make(map[string][]tailer.Record)} }

func TestStreamsBeginAtAVersionOnlyOnceItIsInTheLog(t *testing.T) {
	log := newLog()
	log.setDown(true)
	n := newNode(t, "a", log, "v1")
	time.Sleep(2 * startDelay)
	assert.False(t, n.Admits("writer", "v1"))
	assert.False(t, n.IsReady())
	log.setDown(false)
	eventually(t, "the version recorded", func() bool { return n.Admits("writer", "v1") })
	assert.True(t, n.IsReady())
	assert.False(t, n.Admits("writer", "v2"))
}

func TestAStreamIsOfTheOnlyVersionWithoutACallToTheLogForEach(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1")
	eventually(t, "the version recorded", func() bool { return n.Admits("writer", "v1") })
	for k := range attributor.Key(100) {
		n.Begin(k+1, endpointOf("v1"), false)
	}
	time.Sleep(3 * storeInterval)
	assert.Zero(t, log.count(originTopic))
	o, err := n.resolve(1000)
	require.NoError(t, err)
	assert.Equal(t, origin("v1"), o)
}

func TestAStreamIsAnnouncedOnlyWhileSeveralVersionsMayBeginIt(t *testing.T) {
	log := newLog()
	single := newNode(t, "a", log, "v1")
	eventually(t, "the version recorded", func() bool { return single.Admits("writer", "v1") })
	assert.False(t, single.Announce(1, endpointOf("v1"), false))
	assert.Empty(t, single.ledger.Keys(time.Now(), "writer"), "it may begin at another version")

	log = newLog()
	mixed := newNode(t, "a", log, "v1", "v2")
	eventually(t, "the versions recorded", func() bool { return mixed.Admits("writer", "v1") && mixed.Admits("writer", "v2") })
	assert.True(t, mixed.Announce(1, endpointOf("v1"), false))
	eventually(t, "the origin in the log", func() bool { return log.count(originTopic) > 0 })
}

func TestTheOriginOfAStreamIsKnownToAllHostsAndToThoseThatStartLater(t *testing.T) {
	log := newLog()
	owner := newNode(t, "a", log, "v1", "v2")
	other := newNode(t, "b", log, "v1", "v2")
	third := newNode(t, "c", log, "v1", "v2")
	for _, n := range []*node{other, third} {
		n.setOwner(owner)
	}
	eventually(t, "the versions recorded", func() bool { return other.Admits("writer", "v1") && other.Admits("writer", "v2") })
	other.Begin(1, endpointOf("v1"), false)
	other.Begin(2, endpointOf("v2"), false)
	eventually(t, "the origins in the log", func() bool { return log.count(originTopic) > 0 })
	for k, version := range map[attributor.Key]string{1: "v1", 2: "v2"} {
		o, err := third.resolve(k)
		require.NoError(t, err)
		assert.Equal(t, origin(version), o)
	}
	for _, n := range []*node{owner, other, third} {
		n.stop()
	}
	later := newNode(t, "d", log, "v2")
	for k, version := range map[attributor.Key]string{1: "v1", 2: "v2"} {
		o, err := later.resolve(k)
		require.NoError(t, err)
		assert.Equal(t, origin(version), o)
	}
}

func TestOriginsReachTheLogWithoutTheOwner(t *testing.T) {
	log := newLog()
	owner := newNode(t, "a", log, "v1", "v2")
	n := newNode(t, "b", log, "v1", "v2")
	n.setOwner(owner)
	eventually(t, "the versions recorded", func() bool { return n.Admits("writer", "v2") })
	owner.stop()
	n.Begin(1, endpointOf("v1"), false)
	eventually(t, "the origin in the log", func() bool { return log.count(originTopic) > 0 })
}

func TestStreamsThatBeganBeforeASecondVersionAreReportedOnceThereIsOne(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1")
	eventually(t, "the version recorded", func() bool { return n.Admits("writer", "v1") })
	n.Begin(1, endpointOf("v1"), false)
	n.Endpoints.Put(enroller.Endpoint{ID: "new", Service: "writer", Version: "v2", Address: netip.MustParseAddrPort("127.0.0.1:2")}, 100)
	eventually(t, "the second version recorded", func() bool { return n.Admits("writer", "v2") })
	eventually(t, "the origin in the log", func() bool { return log.count(originTopic) > 0 })
	o, err := newNode(t, "b", log, "v2").resolve(1)
	require.NoError(t, err)
	assert.Equal(t, origin("v1"), o)
}

func TestAStreamOfUnknownOriginIsRefusedForGoodOnlyIfTheLogDoesNotTellIt(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1", "v2")
	eventually(t, "the versions recorded", func() bool { return n.Admits("writer", "v1") && n.Admits("writer", "v2") })
	var unknown *UnknownOriginError
	_, err := n.resolve(1)
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, attributor.FinalRetryAfter, unknown.RetryAfter)
	_, err = n.resolve(0)
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, attributor.FinalRetryAfter, unknown.RetryAfter, "a caller who names no stream")
	log.setDown(true)
	_, err = n.resolve(1)
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, unknownRetryAfter, unknown.RetryAfter)
	n.Begin(2, endpointOf("v1"), false)
	o, err := n.resolve(2)
	require.NoError(t, err)
	assert.Equal(t, origin("v1"), o, "known without the log")
}

func TestALogThatLostAVersionProvesNothing(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1", "v2")
	eventually(t, "the versions recorded", func() bool { return n.Admits("writer", "v1") && n.Admits("writer", "v2") })
	n.stop()
	log.restore(versionTopic, 2) // the first record and one version
	later := newNode(t, "b", log, "v1")
	var unknown *UnknownOriginError
	_, err := later.resolve(1)
	require.ErrorAs(t, err, &unknown)
}

func TestAVersionIsNotTheOnlyOneByACopyThatIsOlderThanTheStream(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1")
	eventually(t, "the version recorded", func() bool { return n.Admits("writer", "v1") })
	n.stop() // its copy gets no more records
	other := newNode(t, "b", log, "v1", "v2")
	eventually(t, "the second version recorded", func() bool { return other.Admits("writer", "v2") })
	_, err := n.resolve(1)
	var unknown *UnknownOriginError
	require.ErrorAs(t, err, &unknown)
}

func TestAStreamIsNotFoundByTheIDOfAnotherCallersRequest(t *testing.T) {
	assert.NotEqual(t, Key(1, "id"), Key(2, "id"))
	assert.NotEqual(t, Key(1, "id"), Key(1, "other"))
	assert.Equal(t, Key(1, "id"), Key(1, "id"))
}

func TestAServiceIsTheOriginOnlyIfTheRouteLeadsToIt(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1")
	eventually(t, "the version recorded", func() bool { return n.Admits("writer", "v1") })
	n.Begin(1, endpointOf("v1"), true)
	_, err := n.Resolve(context.Background(), []string{"reader"}, 1)
	var unknown *UnknownOriginError
	require.ErrorAs(t, err, &unknown)
	_, err = n.Resolve(context.Background(), []string{"reader", "writer"}, 2)
	require.ErrorAs(t, err, &unknown, "two services")
	o, err := n.Resolve(context.Background(), []string{"reader", "writer"}, 1)
	require.NoError(t, err)
	assert.Equal(t, origin("v1"), o)
}

func TestAStreamThatBeganWhenItsEndpointStartedAgainWithAnotherVersionHasNoOrigin(t *testing.T) {
	log := newLog()
	n := newNode(t, "a", log, "v1", "v2")
	eventually(t, "the versions recorded", func() bool { return n.Admits("writer", "v1") && n.Admits("writer", "v2") })
	n.Begin(1, endpointOf("v1"), false)
	again := endpointOf("v2")
	again.IncarnationStart = time.Now().Add(time.Minute) // the clocks differ, but not by that much
	n.Doubt(again)
	_, err := n.resolve(1)
	require.NoError(t, err, "begun long before")

	n.Begin(2, endpointOf("v1"), false)
	again.IncarnationStart = time.Now()
	n.Doubt(again)
	var unknown *UnknownOriginError
	_, err = n.resolve(2)
	require.ErrorAs(t, err, &unknown)
	eventually(t, "both origins in the log", func() bool { return log.origins(2) == 2 })
	_, err = newNode(t, "b", log, "v1", "v2").resolve(2)
	require.ErrorAs(t, err, &unknown)
}

// Its new version is not in the log yet, so that the old one seems to be the only one.
func TestADoubtedStreamIsNotOfTheOnlyVersionInTheLog(t *testing.T) {
	log := newLog()
	owner, other := newNode(t, "a", log, "v1"), newNode(t, "b", log, "v1")
	other.setOwner(owner)
	eventually(t, "the version recorded", func() bool { return other.Admits("writer", "v1") })
	other.Begin(1, endpointOf("v1"), false)
	again := endpointOf("v2")
	again.IncarnationStart = time.Now()
	other.Doubt(again)
	var unknown *UnknownOriginError
	_, err := other.resolve(1)
	require.ErrorAs(t, err, &unknown)
	eventually(t, "the doubt at the owner", func() bool {
		_, err := owner.resolve(1)
		return errors.As(err, &unknown)
	})
}
