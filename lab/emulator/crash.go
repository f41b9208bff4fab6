package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// crashDelay is the time from the start of a run to the crash that its prompt causes.
const crashDelay = 10 * time.Millisecond

// Crashes holds the parts of prompts that crash each engine which begins to write an answer on them, and records what engines
// saw of them.
type Crashes struct {
	mu       sync.Mutex
	parts    map[string]bool
	crashes  map[string][]time.Time
	arrivals map[string][]Arrival
}

// NewCrashes returns the record of the given parts.
func NewCrashes(parts ...string) *Crashes {
	c := &Crashes{parts: make(map[string]bool), crashes: make(map[string][]time.Time), arrivals: make(map[string][]Arrival)}
	for _, p := range parts {
		c.parts[p] = true
	}
	return c
}

// part returns the part of a request's prompt that crashes an engine which runs it, empty if there is none. The last one never
// does.
func (c *Crashes) part(r *http.Request) string {
	if c == nil {
		return ""
	}
	entries := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); c.parts[id] {
			return id
		}
	}
	return ""
}

// recordArrival counts a request at an engine of either stage, refused ones included.
func (c *Crashes) recordArrival(r *http.Request) {
	if part := c.part(r); part != "" {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arrivals[part] = append(c.arrivals[part], Arrival{At: time.Now(), ID: r.Header.Get("Request-Id")})
	}
}

func (c *Crashes) recordCrash(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[part] = append(c.crashes[part], time.Now())
}

// Ended returns the times at which engines ended under requests with a part.
func (c *Crashes) Ended(part string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crashes[part])
}

// ArrivalsAfter returns the requests with a part that reached engines after a time.
func (c *Crashes) ArrivalsAfter(part string, after time.Time) []Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.arrivals[part]), func(a Arrival) bool { return !a.At.After(after) })
}

// dropConnections stops the listener and drops all connections.
func (e *Endpoint) dropConnections() {
	server := e.server.Load()
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// Crash ends the engine for a reason of its own. It starts again later with another ID and address, and knows nothing of before.
func (e *Endpoint) Crash() { e.end("") }

// crashUnder ends the engine under a request with a part that crashes engines.
func (e *Endpoint) crashUnder(part string) {
	time.Sleep(crashDelay)
	e.end(part)
	panic(http.ErrAbortHandler)
}

// end drops all connections and has the engine start again, unless it has ended already. part is what it ended under, if anything.
func (e *Endpoint) end(part string) {
	e.mu.Lock()
	id, hasEnded := e.id, e.hasEnded
	e.hasEnded = true
	e.mu.Unlock()
	if hasEnded {
		return
	}
	if part != "" {
		e.cfg.Crashes.recordCrash(part)
	}
	e.dropConnections()
	time.AfterFunc(e.cfg.EntryLifetime, func() { e.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(e.cfg.RestartDelay, e.startAgain)
}

// startAgain begins a new incarnation with another ID and address.
func (e *Endpoint) startAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isClosed {
		return
	}
	e.hasEnded = false
	e.starts++
	e.id = fmt.Sprintf("%s-%d", e.cfg.ID, e.starts)
	e.sequence, e.orderCount, e.fence = 0, 0, 0
	e.incarnationStart = time.Now().UnixMilli()
	clear(e.active)
	clear(e.holds)
	clear(e.handles)
	e.listen()
	e.announce()
}

// Poison in the body of a request crashes the endpoint that begins to run it.
const Poison = "poison"

// crash records the run, stops the listener and drops all connections.
func (e *Endpoint) crash(id, body string) {
	e.mu.Lock()
	e.runs = append(e.runs, Run{ID: id, Body: body})
	e.mu.Unlock()
	e.dropConnections()
	panic(http.ErrAbortHandler)
}
