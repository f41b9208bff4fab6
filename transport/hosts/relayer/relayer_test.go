package relayer

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	// applyTime is how soon a record must be followed in these tests.
	applyTime = time.Second
	// settled bounds the wait for a condition that holds within a fraction of it.
	awaitTimeout = 15 * time.Second
	topic        = "endpoints"
)

// door is how the log treats one host.
type logAccess int

const (
	reachable logAccess = iota
	refusing
	unresponsive
)

// sharedLog is the log of all hosts of a test.
type sharedLog struct {
	mu      sync.Mutex
	records []tailer.Record
	access  map[string]logAccess
	calls   map[string]int
}

func (l *sharedLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, tailer.Record{Key: key, Value: []byte(value), Offset: uint64(len(l.records))})
}

func (l *sharedLog) set(d logAccess, hosts ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		l.access[h] = d
	}
}

// took returns the calls of each host since the last time.
func (l *sharedLog) takeCalls() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := l.calls
	l.calls = make(map[string]int)
	return calls
}

// view is the log as one host sees it.
type hostLog struct {
	log  *sharedLog
	host string
}

func (v hostLog) call(ctx context.Context) error {
	v.log.mu.Lock()
	v.log.calls[v.host]++
	d := v.log.access[v.host]
	v.log.mu.Unlock()
	switch d {
	case refusing:
		return errors.New("turned away")
	case unresponsive:
		select {
		case <-ctx.Done():
		case <-time.After(2 * applyTime):
		}
		return errors.New("no answer")
	case reachable:
	}
	return nil
}

func (v hostLog) Newest(ctx context.Context, _, _ string) (tailer.Page, error) {
	if err := v.call(ctx); err != nil {
		return tailer.Page{}, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	newest := make(map[string]tailer.Record)
	for _, r := range v.log.records {
		if newest[r.Key] = r; len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := tailer.Page{End: uint64(len(v.log.records))}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (v hostLog) Read(ctx context.Context, _ string, from uint64, _ time.Duration) ([]tailer.Record, uint64, error) {
	if err := v.call(ctx); err != nil {
		return nil, 0, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	return slices.Clone(v.log.records[from:]), uint64(len(v.log.records)), nil
}

// sink notes what a host has followed, in order.
type recordingSink struct {
	mu     sync.Mutex
	state  map[string]string
	events []string
}

func (s *recordingSink) add(event string) {
	if len(s.events) == 0 || s.events[len(s.events)-1] != event {
		s.events = append(s.events, event)
	}
}

func (s *recordingSink) Record(r tailer.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[r.Key] = string(r.Value)
	s.add(r.Key + "=" + string(r.Value))
}

func (s *recordingSink) Listed(map[string]bool, uint64) {}

func (s *recordingSink) Lost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("lost")
}

func (s *recordingSink) Regained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("regained")
}

func (s *recordingSink) has(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state[key] == value
}

func (s *recordingSink) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

// frozenConn keeps its bytes back while its host is frozen.
type frozenConn struct {
	net.Conn
	host *testHost
}

func (c frozenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.host.awaitUnfrozen()
	return n, err
}

type frozenListener struct {
	net.Listener
	host *testHost
}

func (l frozenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return frozenConn{Conn: c, host: l.host}, nil
}

// testHost follows one topic through a relayer.
type testHost struct {
	member tracker.Member
	server *httptest.Server
	sink   *recordingSink
	tailer *tailer.Tailer
	stop   context.CancelFunc
	mu     sync.Mutex
	freeze sync.RWMutex
}

func (h *testHost) awaitUnfrozen() {
	h.freeze.RLock()
	defer h.freeze.RUnlock()
}

// hosts is the list that every host of a test has.
type hosts struct {
	mu   sync.Mutex
	list []tracker.Member
}

type hostView struct {
	hosts *hosts
	self  tracker.Member
}

func (s hostView) Self() tracker.Member { return s.self }

func (s hostView) Serving() []tracker.Member {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	return slices.Clone(s.hosts.list)
}

// rig is a fleet in two data centres.
type testFleet struct {
	t      *testing.T
	log    *sharedLog
	hosts  *hosts
	byName map[string]*testHost
}

func newTestFleet(t *testing.T, n int) *testFleet {
	r := &testFleet{
		t: t, log: &sharedLog{access: make(map[string]logAccess), calls: make(map[string]int)},
		hosts: &hosts{}, byName: make(map[string]*testHost),
	}
	r.log.put("a", "1")
	for i := range n {
		r.start(i)
	}
	t.Cleanup(func() {
		for _, h := range r.byName {
			h.stop()
		}
	})
	r.await("everybody has listed", func() bool { return r.allHave("a", "1") })
	r.log.takeCalls()
	return r
}

func (r *testFleet) start(i int) {
	h := &testHost{sink: &recordingSink{state: make(map[string]string)}}
	m := messenger.New("key", hclog.NewNullLogger(), tally.NoopScope)
	mux := http.NewServeMux()
	mux.HandleFunc(messenger.Path, m.Accept)
	h.server = httptest.NewUnstartedServer(mux)
	h.server.Listener = frozenListener{Listener: h.server.Listener, host: h}
	address := h.server.Listener.Addr().(*net.TCPAddr).AddrPort()
	h.member = tracker.Member{
		Name: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprint(i % 2), Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port()),
	}
	relay := New(Options{
		Log: hostLog{log: r.log, host: h.member.Name}, Hosts: hostView{hosts: r.hosts, self: h.member}, Messenger: m,
		ApplyTime: applyTime, Clock: clockwork.NewRealClock(), Logs: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	h.tailer = tailer.New(tailer.Options{
		Log:   relay.Topic(topic, func(_ string, old, value []byte) bool { return string(old) != string(value) }),
		Topic: topic, Sink: h.sink, Clock: clockwork.NewRealClock(), Logs: hclog.NewNullLogger(),
	})
	h.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = func() {
		cancel()
		<-h.tailer.Done()
		m.Close()
		h.server.CloseClientConnections()
		h.server.Close()
	}
	r.byName[h.member.Name] = h
	r.hosts.mu.Lock()
	r.hosts.list = append(r.hosts.list, h.member)
	r.hosts.mu.Unlock()
	go h.tailer.Run(ctx)
}

func (r *testFleet) await(what string, check func() bool) {
	r.t.Helper()
	require.Eventually(r.t, check, awaitTimeout, 10*time.Millisecond, what)
}

// all tells whether every host has a value, but for some.
func (r *testFleet) allHave(key, value string, but ...string) bool {
	for name, h := range r.byName {
		if !slices.Contains(but, name) && !h.sink.has(key, value) {
			return false
		}
	}
	return true
}

// followed requires that every host, but for some, has a new value in time.
func (r *testFleet) requireFollowed(key, value string, but ...string) {
	r.t.Helper()
	begun := time.Now()
	r.log.put(key, value)
	r.await("the record is followed", func() bool { return r.allHave(key, value, but...) })
	assert.LessOrEqual(r.t, time.Since(begun), applyTime, "%s=%s", key, value)
}

// readers waits until one host of each data centre reads the log, and returns them.
func (r *testFleet) readers() []string {
	r.t.Helper()
	var names []string
	r.await("one reader in each data centre", func() bool {
		r.log.takeCalls()
		time.Sleep(applyTime)
		names = nil
		for name := range r.log.takeCalls() {
			names = append(names, name)
		}
		return len(names) == 2
	})
	slices.Sort(names)
	return names
}

func TestOneHostOfEachDataCentreReadsTheLogAndAllFollow(t *testing.T) {
	r := newTestFleet(t, 10)
	r.readers()
	r.log.takeCalls()
	for i := range 5 {
		r.requireFollowed("b", fmt.Sprint(i))
	}
	calls := 0
	for _, n := range r.log.takeCalls() {
		calls += n
	}
	assert.LessOrEqual(t, calls, 2*(5*3+3), "three reads in the apply time of each reader")
}

func TestARecordIsFollowedInTimeThoughTheReaderIsFrozen(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	frozen := r.byName[names[0]]
	frozen.freeze.Lock()
	r.requireFollowed("b", "1", names[0])
	frozen.freeze.Unlock()
	r.requireFollowed("b", "2")
}

func TestARecordIsFollowedInTimeThoughTheReaderIsGone(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	r.byName[names[0]].stop()
	delete(r.byName, names[0])
	r.requireFollowed("b", "1")
}

func TestARecordIsFollowedInTimeThoughTheReaderIsCutOffFromTheLog(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	r.log.set(unresponsive, names[0])
	r.requireFollowed("b", "1", names[0])
	r.log.set(reachable, names[0])
	r.await("the reader follows again", func() bool { return r.allHave("b", "1") })
}

func TestARecordIsFollowedInTimeThoughTheReaderIsTurnedAway(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	r.log.set(refusing, names[0])
	r.requireFollowed("b", "1")
	r.requireFollowed("b", "2")
}

func TestAnOutageIsToldToAllWithFewCallsAndRecordsAfterItComeInOrder(t *testing.T) {
	r := newTestFleet(t, 10)
	r.readers()
	var names []string
	for name := range r.byName {
		names = append(names, name)
	}
	r.log.takeCalls()
	r.log.set(refusing, names...)
	r.await("everybody has lost the log", func() bool {
		for _, h := range r.byName {
			if !slices.Contains(h.sink.recorded(), "lost") {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * applyTime)
	calls := 0
	for _, n := range r.log.takeCalls() {
		calls += n
	}
	// Of ten hosts two ask once a second and the others less and less often; alone they would make 50 calls.
	assert.LessOrEqual(t, calls, 40)
	r.log.put("a", "")
	r.log.set(reachable, names...)
	r.await("the removal is followed", func() bool { return r.allHave("a", "") })
	for name, h := range r.byName {
		events := h.sink.recorded()
		lost, removed := slices.Index(events, "lost"), slices.Index(events, "a=")
		assert.Less(t, lost, removed, "%s: %v", name, events)
		assert.NotContains(t, events[lost:removed], "regained", "%s: %v", name, events)
	}
}

// A host whose source had a short outage must not take what lapsed in it for a loss in calm times.
func TestAShortOutageIsToldBeforeTheRecordsThatCameWithIt(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	var all []string
	for name := range r.byName {
		all = append(all, name)
	}
	r.log.set(refusing, all...)
	r.await("the readers have lost the log", func() bool {
		return slices.Contains(r.byName[names[0]].sink.recorded(), "lost") && slices.Contains(r.byName[names[1]].sink.recorded(), "lost")
	})
	r.log.put("a", "")
	r.log.set(reachable, all...)
	r.await("the removal is followed", func() bool { return r.allHave("a", "") })
	for name, h := range r.byName {
		events := h.sink.recorded()
		assert.Less(t, slices.Index(events, "lost"), slices.Index(events, "a="), "%s: %v", name, events)
		assert.Contains(t, events, "lost", name)
	}
}

func TestALateHostListsThroughTheReader(t *testing.T) {
	r := newTestFleet(t, 8)
	names := r.readers()
	r.log.takeCalls()
	r.start(8)
	r.await("the late host has listed", func() bool { return r.allHave("a", "1") })
	for name := range r.log.takeCalls() {
		assert.Contains(t, names, name)
	}
}

// Whichever topic hears of an outage first, the other one must hear of it, too: what lapsed there lapsed in the outage.
func TestEachTopicIsToldOfAnOutage(t *testing.T) {
	r := New(Options{
		Hosts: hostView{hosts: &hosts{}}, Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope),
		ApplyTime: applyTime, Clock: clockwork.NewRealClock(), Logs: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	from := source{name: "reader"}
	for _, name := range []string{"config", "endpoints"} {
		r.Topic(name, nil)
		assert.False(t, r.topics[name].isNewOutage(from, 3), "the first answer tells nothing")
	}
	for _, topic := range r.topics {
		assert.True(t, topic.isNewOutage(from, 4))
		assert.False(t, topic.isNewOutage(from, 4))
	}
}
