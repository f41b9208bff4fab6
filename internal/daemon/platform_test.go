package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
	"github.com/hornbeamspan/hornbeamspan/platform"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hostrunner"
)

const (
	// awaitTimeout is the time limit for a condition; conditions usually hold within milliseconds.
	awaitTimeout = 15 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// streamEvents is the number of events in a stream of a simulated engine.
	streamEvents = 6
)

// rig is a small test system: hosts, the simulated platform, engines and plain services.
type rig struct {
	t       *testing.T
	store   *emulator.Store
	prefill []*emulator.Endpoint
	decode  []*emulator.Endpoint
	plain   []*emulator.Endpoint
	hosts   []*hostrunner.RoutingHost
	// frontends are the proxies between the hosts and the store, one for each host.
	frontends []*emulator.Frontend
	settings  []platform.Settings
	// staleSeeds gives new hosts a seed address at which no host listens.
	staleSeeds bool
	// settingsText is the content of the settings file of the newest host.
	settingsText string
	version      int
	// Limits of the configuration and of the settings of new hosts.
	headerTimeoutMs, idleTimeoutMs, maxFiles int
}

// configure publishes the next version of the configuration, with the routes of more added, and returns the version.
func (r *rig) configure(more ...map[string]any) int {
	r.version++
	r.store.PutConfig(r.version, emulator.ConfigLimits{HeaderTimeoutMs: r.headerTimeoutMs, IdleTimeoutMs: r.idleTimeoutMs}, more...)
	return r.version
}

// sizes are the numbers of hosts and endpoints of a rig.
type sizes struct {
	hosts, prefill, decode, plain int
}

func newRig(t *testing.T, n sizes) *rig {
	r := &rig{t: t, store: emulator.NewStore(), headerTimeoutMs: 3000, idleTimeoutMs: 15000, maxFiles: 1000}
	t.Cleanup(r.close)
	engine := emulator.Config{
		Service: "writer", Slots: 4, MemoryTokens: 40000, Events: streamEvents, EventInterval: 5 * time.Millisecond, StageSwitchTime: 200 * time.Millisecond,
	}
	for i := range n.prefill {
		engine.ID, engine.DataCentre, engine.Stage = fmt.Sprintf("p%d", i), fmt.Sprintf("zone-%d", i%2), "prefill"
		r.prefill = append(r.prefill, emulator.Start(r.store, engine))
	}
	for i := range n.decode {
		engine.ID, engine.DataCentre, engine.Stage = fmt.Sprintf("d%d", i), fmt.Sprintf("zone-%d", i%2), "decode"
		r.decode = append(r.decode, emulator.Start(r.store, engine))
	}
	for i := range n.plain {
		r.plain = append(r.plain, emulator.Start(r.store, emulator.Config{
			ID: fmt.Sprintf("s%d", i), Service: "desk", DataCentre: "zone-0", Slots: 6, WorkTime: 2 * time.Millisecond,
		}))
	}
	for range n.hosts {
		r.addHost()
	}
	return r
}

// freeAddress returns a loopback address with a free port.
func (r *rig) freeAddress() netip.AddrPort {
	address, err := launcher.FreePort()
	require.NoError(r.t, err)
	return address
}

// addHost starts a host with a new name.
func (r *rig) addHost() *hostrunner.RoutingHost {
	return r.startHost(fmt.Sprintf("front-%d", len(r.hosts)))
}

// startHost writes a settings file as the platform does, and starts a host with it.
func (r *rig) startHost(name string) *hostrunner.RoutingHost {
	var seeds []netip.AddrPort
	for _, s := range r.settings {
		seeds = append(seeds, s.Peers)
	}
	if r.staleSeeds {
		seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	}
	frontend := r.store.NewFrontend()
	r.frontends = append(r.frontends, frontend)
	text := emulator.HostSettings{
		Name: name, DataCentre: fmt.Sprintf("zone-%d", len(r.hosts)%2), Seeds: seeds, Operators: r.freeAddress(), Callers: r.freeAddress(),
		Ready: r.freeAddress(), Peers: r.freeAddress(), Directory: r.freeAddress(), MaxFiles: r.maxFiles, Store: frontend.Address(),
	}.Text()
	r.settingsText = text
	path := filepath.Join(r.t.TempDir(), "local.toml")
	require.NoError(r.t, os.WriteFile(path, []byte(text), 0o600))
	s, err := platform.Load(path)
	require.NoError(r.t, err)
	logs := eventlogger.New(name, hclog.Error.String(), false, io.Discard) // also redirects go-zero's log
	rh, err := hostrunner.StartRouting(routingConfig(s), clockwork.NewRealClock(), logs)
	require.NoError(r.t, err)
	r.hosts = append(r.hosts, rh)
	r.settings = append(r.settings, s)
	return rh
}

func (r *rig) close() {
	for _, rh := range r.hosts {
		select {
		case <-rh.Done():
		default:
			rh.Close(context.Background())
		}
	}
	for _, e := range slices.Concat(r.prefill, r.decode, r.plain) {
		e.Close()
	}
	r.store.Close()
}

// await waits until check returns true.
func (r *rig) await(what string, check func() bool) {
	r.t.Helper()
	require.Eventually(r.t, check, awaitTimeout, pollInterval, what)
}

// engines returns the model engines of both stages.
func (r *rig) engines() []*emulator.Endpoint { return slices.Concat(r.prefill, r.decode) }

// awaitMemory waits until no engine has reservations, cache handles or active runs.
func (r *rig) awaitMemory() {
	r.t.Helper()
	r.await("all memory released", func() bool {
		for _, e := range r.engines() {
			if holds, handles, active := e.Reserved(); holds+handles+active > 0 {
				return false
			}
		}
		return true
	})
}

// orders returns the stage orders that engines have accepted.
func (r *rig) orders() []string {
	var orders []string
	for _, e := range r.engines() {
		orders = append(orders, e.Orders()...)
	}
	return orders
}

// configureAndAwait publishes a configuration and waits until every host is ready and lists all others.
func (r *rig) configureAndAwait() {
	r.configure()
	all := make([]int, len(r.hosts))
	for i := range all {
		all[i] = i
	}
	r.await("ready hosts", func() bool { return r.listEachOther(all...) })
}

// addresses returns the host addresses, as quoted strings, from the directory of host i.
func (r *rig) addresses(i int) []string {
	resp, err := http.Get(fmt.Sprintf("http://%s/api/resolve?name=shop.example&zone=zone-0", r.settings[i].Directory))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	_, list, _ := strings.Cut(string(data), "[")
	list, _, _ = strings.Cut(list, "]")
	return strings.Split(list, ",")
}

// reply is the answer that a caller received; complete is set if its body was read without an error.
type reply struct {
	status   int
	header   http.Header
	body     string
	complete bool
	refused  bool
	// err is the reason for a missing status.
	err error
}

var requests int

// request returns a request to host i with the headers that callers set.
func (r *rig) request(ctx context.Context, i int, method, path, body string) *http.Request {
	requests++
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", r.settings[i].Callers, path), strings.NewReader(body))
	require.NoError(r.t, err)
	q.Host = "shop.example"
	q.Header.Set("Request-Id", fmt.Sprintf("id-%d", requests))
	q.Header.Set("Deadline-Ms", "2500")
	if strings.HasPrefix(path, "/brief/") || strings.HasPrefix(path, "/scope/") {
		q.Header.Set("Model", "m")
		q.Header.Set("Token-Count", "2000,2000")
		q.Header.Set("Length-Hint", "300")
		q.Header.Set("Prompt-Prefix", "ab:200,cd:1800")
	}
	return q
}

func (r *rig) send(q *http.Request) reply {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

func (r *rig) call(i int, method, path, body string) reply {
	return r.send(r.request(context.Background(), i, method, path, body))
}

// runs returns all runs at the endpoints.
func runs(endpoints []*emulator.Endpoint) []emulator.Run {
	var all []emulator.Run
	for _, e := range endpoints {
		all = append(all, e.Runs()...)
	}
	return all
}

func TestAHostWithoutAConfigurationRefusesRequestsAndIsNotReady(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	got := r.call(0, http.MethodGet, "/lookup/1", "")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.False(t, r.hosts[0].IsReady())
	r.configureAndAwait()
	assert.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
}

func TestEachKindOfRequestIsServedEndToEndOnThreeHosts(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 1, decode: 2, plain: 2})
	r.configureAndAwait()
	for i := range r.hosts {
		lookup := r.call(i, http.MethodGet, "/lookup/a%2Fb?x=1", "")
		assert.Equal(t, http.StatusOK, lookup.status)
		assert.True(t, strings.HasPrefix(lookup.header.Get("Response-Seal"), "seal."), "the endpoint's headers are forwarded")
		submit := r.call(i, http.MethodPost, "/submit/", "one proposal")
		assert.Equal(t, http.StatusOK, submit.status)
		brief := r.call(i, http.MethodPost, "/brief/x", "a long brief")
		assert.Equal(t, http.StatusOK, brief.status)
		assert.Equal(t, emulator.Events(streamEvents), brief.body)
		assert.Equal(t, http.StatusNotFound, r.call(i, http.MethodGet, "/nothing/", "").status)
	}
	assert.Equal(t, "/lookup/a%2Fb?x=1", runs(r.plain)[0].Path, "the path is forwarded unchanged")
	for _, run := range runs(r.decode) {
		assert.Equal(t, "a long brief", run.Body)
		assert.Contains(t, run.KVSource, r.prefill[0].Address().String()+"/p0-handle", "the prefill engine processed the prompt")
	}
	assert.Len(t, runs(r.decode), 3)
	r.awaitMemory()
}

func TestHeadersReservedForRoutersAreDroppedFromCallersRequests(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1, plain: 1})
	r.configureAndAwait()
	q := r.request(context.Background(), 0, http.MethodPost, "/brief/x", "b")
	for _, name := range []string{"Kv-Source", "Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-Fetch", "Request-Priority", "Expect-Version"} {
		q.Header.Set(name, "forged")
	}
	q.Header.Set("Connection", "X-Hop")
	q.Header.Set("X-Hop", "1")
	q.Header.Set("X-End-To-End", "1")
	require.Equal(t, http.StatusOK, r.send(q).status)
	sent := runs(r.decode)[0].Header
	for name, values := range sent {
		assert.NotEqual(t, "forged", values[0], name)
	}
	assert.Empty(t, sent.Get("X-Hop"))
	assert.Equal(t, "1", sent.Get("X-End-To-End"))
	assert.Equal(t, "2000,2000", sent.Get("Token-Count"))
}

func TestAOnceCallWhoseAnswerIsLostIsNotSentAgainAndNotReportedAsNotRun(t *testing.T) {
	for _, fault := range []emulator.Fault{emulator.LoseAnswer, emulator.Truncate, emulator.WrongRequestID, emulator.RepeatRefusal} {
		r := newRig(t, sizes{hosts: 1, plain: 2})
		r.configureAndAwait()
		for _, e := range r.plain {
			e.SetFault(fault)
		}
		got := r.call(0, http.MethodPost, "/submit/", "one invoice")
		assert.Equal(t, http.StatusBadGateway, got.status, fault)
		assert.Len(t, runs(r.plain), 1, fault)
	}
}

func TestAOnceCallThatAnEndpointRefusesIsReportedAsNotRun(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.Refuse)
	got := r.call(0, http.MethodPost, "/submit/", "one invoice")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Empty(t, runs(r.plain))
}

func TestAOnceCallIsSentToAnotherEndpointIfTheFirstIsUnreachable(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	r.plain[0].Close()
	for range 6 {
		assert.Equal(t, http.StatusOK, r.call(0, http.MethodPost, "/submit/", "one invoice").status)
	}
	assert.Len(t, runs(r.plain), 6)
}

func TestAFailedLookupIsRetriedWithinTheSharedBudget(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.Fail)
	r.plain[1].SetFault(emulator.Fail)
	const calls = 60
	for range calls {
		got := r.call(0, http.MethodGet, "/lookup/1", "")
		assert.Equal(t, http.StatusInternalServerError, got.status, "the endpoint's own answer is forwarded")
		assert.NotEmpty(t, got.header.Get("Response-Seal"))
	}
	extra := r.plain[0].RequestCount() + r.plain[1].RequestCount() - calls
	assert.Positive(t, extra)
	assert.LessOrEqual(t, extra, calls/5+12, "ratio and allowance of the settings")
}

func TestALeavingEndpointGetsNoFurtherRequests(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, plain: 2})
	r.configureAndAwait()
	r.plain[0].Drain()
	time.Sleep(400 * time.Millisecond) // the settings' limit for leaving to take effect
	before := r.plain[0].RequestCount()
	for i := range 20 {
		require.Equal(t, http.StatusOK, r.call(i%2, http.MethodGet, "/lookup/1", "").status)
	}
	assert.Equal(t, before, r.plain[0].RequestCount())
}

func TestAnEntryWithTheAddressOfAnotherEndpointCausesNoFailedRequests(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	// The entry of a third endpoint names the address of the first.
	r.store.PutJSON("keyed.servers", "ghost", map[string]any{
		"service": "desk", "address": r.plain[0].Address().String(), "zone": "zone-0", "slots": 6, "state": "ready", "sequence": 1,
	})
	time.Sleep(400 * time.Millisecond)
	for range 10 {
		require.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
	}
}

func TestInvalidEndpointEntriesAreIgnored(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.store.Put("keyed.servers", "nonsense", []byte("\x00\xff{"))
	r.store.PutJSON("keyed.servers", "partial", map[string]any{"service": "desk", "state": "ready"})
	r.store.PutJSON("keyed.servers", "odd", map[string]any{
		"service": "desk", "address": "127.0.0.1:1", "zone": "z", "slots": "six", "state": "ready", "sequence": 1,
	})
	r.configureAndAwait()
	for range 10 {
		require.Equal(t, http.StatusOK, r.call(0, http.MethodPost, "/submit/", "x").status)
	}
}

func TestANewConfigurationTakesEffectSoonAndOlderVersionsAreIgnored(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, plain: 1})
	r.configureAndAwait()
	added := emulator.Route("added", "/added/", "idempotent", "desk", nil)
	r.configure(added)
	r.await("the new route on both hosts", func() bool {
		return r.call(0, http.MethodGet, "/added/", "").status == http.StatusOK &&
			r.call(1, http.MethodGet, "/added/", "").status == http.StatusOK
	})
	// An older version that is written late has no effect.
	r.version = 0
	r.configure()
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/added/", "").status)
}

func TestAHostThatStartsWhileTheStoreIsDownGetsTheConfigurationFromAnotherHost(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, plain: 1})
	r.configureAndAwait()
	r.store.SetDown(true)
	r.addHost()
	r.await("a configuration", func() bool {
		return r.call(2, http.MethodGet, "/nothing/", "").status == http.StatusNotFound
	})
}

func TestStateIsReloadedIfRecordsExpireBeforeTheyAreRead(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	r.store.SetDown(true)
	r.configure(emulator.Route("added", "/added/", "idempotent", "desk", nil))
	r.store.Expire("keyed.op")
	r.store.Expire("keyed.servers")
	r.store.SetDown(false)
	r.await("the new route", func() bool { return r.call(0, http.MethodGet, "/added/", "").status == http.StatusOK })
}

func TestABodyOverTheLimitIsRefusedAndNotForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	got := r.call(0, http.MethodPost, "/submit/", strings.Repeat("x", 1<<16+1))
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.status, "%v", got.err)
	assert.Zero(t, r.plain[0].RequestCount())
}

func TestAnInterruptedStreamDoesNotEndAsComplete(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Truncate)
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.False(t, got.complete)
	assert.NotContains(t, got.body, "half an ev", "no partial event")
	assert.Len(t, runs(r.decode), 1, "the request must not run twice")
}

func TestAResumableStreamContinuesAtAnotherEngineWithoutGapOrRepetition(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 2})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Truncate)
	r.decode[1].SetFault(emulator.Truncate)
	var got reply
	go func() {
		for len(runs(r.decode)) == 0 {
			time.Sleep(time.Millisecond)
		}
		r.decode[0].SetFault(emulator.Healthy)
		r.decode[1].SetFault(emulator.Healthy)
	}()
	got = r.call(0, http.MethodPost, "/scope/x", "b")
	assert.True(t, got.complete)
	assert.Equal(t, emulator.Events(streamEvents), got.body)
	assert.Len(t, runs(r.decode), 2)
	assert.NotEmpty(t, runs(r.decode)[1].LastEventID+runs(r.decode)[0].LastEventID)
}

func TestACallersDisconnectionStopsItsGenerationAndReleasesItsMemory(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	go r.send(r.request(ctx, 0, http.MethodPost, "/brief/x", "b"))
	r.await("the run", func() bool { return len(r.decode[0].Runs()) == 1 })
	cancel()
	r.awaitMemory()
}

func TestAGenerationWithoutAFreeSlotIsRefusedWithARetryTime(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		go r.send(r.request(ctx, 0, http.MethodPost, "/brief/x", "b"))
	}
	r.await("full slots", func() bool { _, _, active := r.decode[0].Reserved(); return active == 4 })
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Len(t, runs(r.decode), 4)
	assert.Equal(t, 4, r.prefill[0].RequestCount(), "no prefill without a placement")
}

func TestGenerationsAreServedAfterAHostStops(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 1, decode: 2, plain: 1})
	r.configureAndAwait()
	for i := range r.hosts {
		assert.True(t, r.call(i, http.MethodPost, "/brief/x", "b").complete)
	}
	r.hosts[0].Close(context.Background())
	for range 4 {
		for i := 1; i < 3; i++ {
			got := r.call(i, http.MethodPost, "/brief/x", "b")
			assert.Equal(t, http.StatusOK, got.status, "whichever host was the owner")
			assert.Equal(t, emulator.Events(streamEvents), got.body)
		}
	}
}

func TestADrainingHostStillServesRequestsAndIsRemovedFromTheDirectory(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, prefill: 1, decode: 1, plain: 1})
	r.configureAndAwait()
	go r.hosts[0].Drain(context.Background())
	r.await("not ready", func() bool { return !r.hosts[0].IsReady() })
	resp, err := http.DefaultClient.Do(r.request(context.Background(), 0, http.MethodGet, "/lookup/1", ""))
	require.NoError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.True(t, resp.Close, "the caller must reconnect, to another host")
	r.await("removal from the directory", func() bool { return len(r.addresses(1)) == 1 })
	<-r.hosts[0].Done()
}

func TestAStreamInProgressIsCompletedWhileItsHostDrains(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	resp, err := http.DefaultClient.Do(r.request(context.Background(), 0, http.MethodPost, "/brief/x", "b"))
	require.NoError(t, err)
	defer resp.Body.Close()
	first, err := bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "id: 1\n", first)
	go r.hosts[0].Drain(context.Background())
	_, err = io.ReadAll(resp.Body)
	assert.NoError(t, err)
	<-r.hosts[0].Done()
}

func TestAMissingPrefillEngineIsReplacedByExactlyOneFencedOrder(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 0, decode: 3})
	r.configureAndAwait()
	for i := range 3 {
		r.call(i, http.MethodPost, "/brief/x", "b")
	}
	r.await("a prefill engine", func() bool { return len(r.orders()) > 0 })
	time.Sleep(300 * time.Millisecond) // the stage change and the owner's next load report
	orders := r.orders()
	require.Len(t, orders, 1)
	assert.True(t, strings.HasPrefix(orders[0], "prefill front-"))
}

func TestARequestThatCrashedThreeEndpointsIsSentToNoOtherByAnyHost(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, plain: 6})
	r.configureAndAwait()
	for i := range 12 {
		got := r.call(i%2, http.MethodPost, "/submit/", emulator.Poison)
		assert.NotEqual(t, http.StatusOK, got.status)
		time.Sleep(100 * time.Millisecond) // callers take longer to retry
	}
	crashed := 0
	for _, e := range r.plain {
		for _, run := range e.Runs() {
			if run.Body == emulator.Poison {
				crashed++
			}
		}
	}
	assert.Equal(t, 3, crashed)
	assert.Equal(t, http.StatusServiceUnavailable, r.call(0, http.MethodPost, "/submit/", emulator.Poison).status)
	assert.Equal(t, http.StatusOK, r.call(0, http.MethodPost, "/submit/", "one proposal").status)
}

func TestChangedSettingsTakeEffectAndInvalidOnesLeaveTheOldInForce(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	for _, e := range r.plain {
		e.SetFault(emulator.Fail)
	}
	path := filepath.Join(t.TempDir(), "local.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	watcher := settingsWatcher{path: path, host: r.hosts[0], logs: hclog.NewNullLogger()}
	write("nodeName = ")
	assert.False(t, watcher.hasChanged(), "the first check")
	watcher.reload("test")
	r.call(0, http.MethodGet, "/lookup/1", "")
	assert.Equal(t, 2, r.plain[0].RequestCount()+r.plain[1].RequestCount(), "the old budget allows a second send")
	write(strings.Replace(r.settingsText, "budgetSlack = 12", "budgetSlack = 0", 1))
	assert.True(t, watcher.hasChanged())
	assert.False(t, watcher.hasChanged())
	watcher.reload("test")
	r.call(0, http.MethodGet, "/lookup/1", "")
	assert.Equal(t, 3, r.plain[0].RequestCount()+r.plain[1].RequestCount())
}

func TestHostsWithUnreachableSeedsDiscoverEachOtherThroughTheStore(t *testing.T) {
	r := newRig(t, sizes{plain: 1})
	r.staleSeeds = true
	for range 3 {
		r.addHost()
	}
	r.configureAndAwait()
}
