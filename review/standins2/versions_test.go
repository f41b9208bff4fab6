//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versionsCase }

// versionedEngine is a server of streams that starts again under its ID, with another version of its software.
type versionedEngine struct {
	id, address string
	store       entryWriter
	mu          sync.Mutex
	version     string
	sequence    int
	born        int64
	server      *http.Server
	isUp        bool
}

const (
	versionEvents     = 69
	versionEventPause = 100 * time.Millisecond
	versionEngines    = 6
	// upgradedEngines start again one after the other, half of all.
	upgradedEngines = 3
	versionHosts    = 6
	versionStreams  = 36
	// versionDeadlineMs is the deadline of the callers and the route's timeout.
	versionDeadlineMs = 14000
	// upgradeDelay is the time from the begin of the streams to the first restart, restartTime how long an engine is down.
	upgradeDelay = 700 * time.Millisecond
	restartTime  = 1500 * time.Millisecond
	// maxJoined is the number of joined streams that the rule allows.
	maxJoined = 2
)

func newVersionedEngine(id, version string, store entryWriter) *versionedEngine {
	e := &versionedEngine{id: id, address: loopback(freePorts(1)[0]), store: store}
	e.start(version)
	go func() {
		for {
			time.Sleep(heartbeat)
			e.mu.Lock()
			if e.isUp {
				e.announce()
			}
			e.mu.Unlock()
		}
	}()
	return e
}

// announce writes the engine's entry. The caller holds mu.
func (e *versionedEngine) announce() {
	e.sequence++
	e.store.PutJSON("keyed.servers", e.id, map[string]any{
		"service": "writer", "address": e.address, "zone": "zone-a", "version": e.version, "slots": 200, "state": "ready", "coldRemainingMs": 0,
		"sequence": e.sequence, "born": e.born,
	})
}

// start begins an incarnation of the engine, which writes its entry at once.
func (e *versionedEngine) start(version string) {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		cannotRun("engine %s: %s", e.id, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.sequence, e.born, e.isUp = version, 0, time.Now().UnixMilli(), true
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, version) })}
	e.server = server
	go func() { _ = server.Serve(l) }()
	e.announce()
}

// stop ends the engine's process: all its connections break.
func (e *versionedEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isUp = false
	_ = e.server.Close()
}

func (e *versionedEngine) serve(w http.ResponseWriter, r *http.Request, version string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if after > 0 {
		note("%s at %s goes on with %s after event %d", e.id, version, r.Header.Get("Request-Id"), after)
	}
	w.Header().Set("Response-Seal", "seal."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= versionEvents; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: written by %s\n\n", n, version)
		if err != nil || control.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(versionEventPause)
	}
}

// versionsCase: while engines start again one after the other with another version, streams go on at the wrong version.
func versionsCase() {
	store := newPagedStore()
	var list []*versionedEngine
	for i := range versionEngines {
		list = append(list, newVersionedEngine(fmt.Sprintf("i-%d", i), "v1", store))
	}
	putConfig(store, 1, nil, map[string]any{
		"name": "scope", "hostname": "shop.example", "pathPrefix": "/scope/", "routeType": "streaming", "timeoutMs": versionDeadlineMs,
		"targetLatencyMs": 900, "priority": 1, "service": "writer", "maxAttempts": 2, "gapAimMs": 300, "resumable": true,
	})
	var all []*host
	var seeds []string
	for i := range versionHosts {
		h := newHost(fmt.Sprintf("front-%d", i+1), store.address(), seeds...)
		seeds = append(seeds, h.control)
		all = append(all, h)
		h.start()
	}
	for _, h := range all {
		h.awaitReady()
	}
	note("hosts ready")
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined, complete, total := 0, 0, 0
	for i := range versionStreams {
		h := all[i%len(all)]
		wg.Go(func() {
			id := fmt.Sprintf("s-%d", i)
			got, end := readVersions(h, id)
			mu.Lock()
			defer mu.Unlock()
			total++
			if len(got) > 1 {
				joined++
				note("caller of %s: events of %v in one answer", id, got)
			}
			if end {
				complete++
			}
		})
	}
	time.Sleep(upgradeDelay)
	if hasTrouble {
		for _, e := range list[:upgradedEngines] {
			e.stop()
			note("%s ends", e.id)
			time.Sleep(restartTime)
			e.start("v2")
			note("%s is back with v2 and has written its entry", e.id)
		}
	}
	wg.Wait()
	judge(joined > maxJoined, "%d of %d streams hold events of two versions; %d are complete", joined, total, complete)
}

// readVersions sends one request, and returns the versions that wrote the events of its answer.
func readVersions(h *host, id string) (versions []string, isComplete bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/scope/1", strings.NewReader("prompt of "+id))
	if err != nil {
		cannotRun("%s", err)
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.Itoa(versionDeadlineMs))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		note("caller of %s: %v", id, err)
		return nil, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		note("caller of %s gets %d", id, resp.StatusCode)
		return nil, false
	}
	last := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "data: written by "); ok && !slices.Contains(versions, v) {
			versions = append(versions, v)
			note("caller of %s: events of %s from %d on", id, v, last)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	isComplete = lines.Err() == nil && last == versionEvents
	note("caller of %s has %d events, end: %t", id, last, isComplete)
	return versions, isComplete
}
