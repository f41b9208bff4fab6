package emulator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a failure mode of an Endpoint, injected into each request.
type Fault string

// Failure modes of an Endpoint.
const (
	// Healthy injects no failure.
	Healthy Fault = ""
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer Fault = "lose"
	// Refuse answers 503 and states that the request was not run.
	Refuse Fault = "refuse"
	// RepeatRefusal runs the request and answers it with the refusal of an earlier one.
	RepeatRefusal Fault = "repeat"
	// Fail runs the request and answers 500.
	Fail Fault = "fail"
	// Truncate breaks off the answer or stream in the middle.
	Truncate Fault = "cut"
	// WrongRequestID answers with the ID of another request.
	WrongRequestID Fault = "foreign"
	// ExtraAnswer sends after each answer one to a request that was never sent.
	ExtraAnswer Fault = "extra"
	// EarlyAnswer answers 413 before it reads the body.
	EarlyAnswer Fault = "early"
	// Hang sends nothing until the caller closes the connection.
	Hang Fault = "hang"
	// Garbage answers with bytes that are not HTTP.
	Garbage Fault = "noise"
	// EndlessHeader, EndlessBody and EndlessEvent never end the named part until the caller closes the connection.
	EndlessHeader Fault = "endless head"
	EndlessBody   Fault = "endless body"
	EndlessEvent  Fault = "endless event"
	// ManyHeaders sends short header fields with different names without end, EndlessInterim interim (1xx) answers, EndlessExtension the
	// extension of a chunk, EndlessTrailer trailer fields.
	ManyHeaders      Fault = "many headers"
	EndlessInterim   Fault = "endless interim answers"
	EndlessExtension Fault = "endless chunk extension"
	EndlessTrailer   Fault = "endless trailer"
	// Drip sends an endless event byte by byte. Slow delays the first events beyond the latency targets of routes.
	Drip Fault = "drip"
	Slow Fault = "slow"
	// Unframed sends answers without a length, ended by the end of the connection.
	Unframed Fault = "unframed"
	// CutUnframed ends the connection of an answer without a length too soon: a stream in the middle of its third event, a plain
	// answer halfway. The endpoint goes on.
	CutUnframed Fault = "cut unframed"
	// Reset resets the connection halfway through an answer without a length.
	Reset Fault = "reset"
)

// Config holds the identity, capacity and speed of an Endpoint.
type Config struct {
	ID         string
	Service    string
	DataCentre string
	// Version is the version of the software; empty stands for v1.
	Version string
	// Stage is prefill or decode, or empty for a plain service.
	Stage string
	// Slots limits concurrent requests and holds of an engine, MemoryTokens their KV cache.
	Slots        int
	MemoryTokens int
	// Events is the number of events per stream; 0 gives plain answers.
	Events int
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	// WorkTime is how long a plain request takes.
	WorkTime time.Duration
	// StageSwitchTime is how long an engine takes to change its stage; it refuses requests meanwhile.
	StageSwitchTime time.Duration
	// Crashes holds the parts of prompts that crash engines, and counts what they do; nil if there are none.
	Crashes *Crashes
	// RestartDelay is the time from a crash by a part of a prompt to the engine's next start, EntryLifetime that to the removal of
	// its entry.
	RestartDelay  time.Duration
	EntryLifetime time.Duration
}

// WorkTimeHeader is the header of a plain request that states how many milliseconds its endpoint works on it.
const WorkTimeHeader = "Work-Ms"

const (
	// AnswerBytesHeader is the header of a plain request that states the size of the answer.
	AnswerBytesHeader = "Answer-Bytes"
	// AnswerFramingHeader is the header of such a request that states what delimits the answer: length, chunks or close.
	AnswerFramingHeader = "Answer-Framing"
)

const (
	// sizedChunkBytes of a sized answer are written at a time.
	sizedChunkBytes = 64 << 10
	// unreadTimeout is how long an endpoint waits for a sized answer to be read before it cuts it off.
	unreadTimeout = 4 * time.Second
)

// writeSized writes an answer of n bytes, and cuts it off if it is not read.
func writeSized(w http.ResponseWriter, n int, framing string) {
	control := http.NewResponseController(w)
	switch framing {
	case "chunks":
	case "close":
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(n))
	}
	chunk := []byte(strings.Repeat("x", sizedChunkBytes))
	for ; n > 0; n -= min(n, len(chunk)) {
		_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
		if _, err := w.Write(chunk[:min(n, len(chunk))]); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// Run is a request as an endpoint received and ran it.
type Run struct {
	ID   string
	Path string
	Body string
	// LastEventID is the event after which a resumed stream begins.
	LastEventID string
	// KVSource is the address and handle of the KV cache, as ADDRESS/HANDLE.
	KVSource string
	// Version is that of the endpoint's software.
	Version string
	Header  http.Header
}

// Endpoint serves as a model engine if its Config has a Stage, otherwise as a plain service.
type Endpoint struct {
	cfg   Config
	store *Store
	// server is replaced when the endpoint starts again after a crash.
	server           atomic.Pointer[httptest.Server]
	mu               sync.Mutex
	stage            string
	state            string
	incarnationStart int64
	sequence         int64
	fault            Fault
	runs             []Run
	active           map[string]int
	holds            map[string]int
	handles          map[string]string
	orderCount       int64
	fence            uint64
	acceptedOrders   []string
	// orderDelay delays the execution of orders.
	orderDelay   time.Duration
	lastNumber   int
	requestCount int
	switching    bool
	// leaving adds the Server-Leaving header to all answers.
	leaving bool
	// retryAfter, if set, is the Retry-After value of the 503 that every request gets.
	retryAfter string
	// arrivals counts all HTTP requests, control calls included.
	arrivals int
	limits   limitRecord
	// id is the ID of the present start, isClosed is set once the endpoint must not start again.
	id string
	// starts counts the starts after crashes, hasEnded is set from a crash to the next start.
	starts   int
	hasEnded bool
	isClosed bool
}

// Start starts an endpoint on a free loopback port and writes its entry to the store. The caller must close it.
func Start(store *Store, cfg Config) *Endpoint {
	e := &Endpoint{
		cfg: cfg, store: store, id: cfg.ID, stage: cfg.Stage, state: "ready", incarnationStart: time.Now().UnixMilli(),
		active: make(map[string]int), holds: make(map[string]int), handles: make(map[string]string),
	}
	e.listen()
	e.Announce()
	return e
}

// listen starts the endpoint's server on a free port.
func (e *Endpoint) listen() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold-take", e.takeHold)
	mux.HandleFunc("DELETE /api/hold-drop/{id}", e.dropHold)
	mux.HandleFunc("DELETE /api/kv-handle/{id}", e.dropHandle)
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server.Store(httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.rejectIfPaused(w, r) {
			mux.ServeHTTP(w, r)
		}
	})))
	endpointsByAddress.Store(e.Address().String(), e)
}

// Address returns the loopback address that the endpoint listens on.
func (e *Endpoint) Address() netip.AddrPort { return address(e.server.Load()) }

// Close stops the endpoint abruptly: its entry stays in the store, as after a crash.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.isClosed = true
	e.mu.Unlock()
	e.server.Load().CloseClientConnections()
	e.server.Load().Close()
}

// Announce writes the endpoint's entry to the store, with the next sequence number.
func (e *Endpoint) Announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announce()
}

func (e *Endpoint) announce() {
	e.sequence++
	entry := map[string]any{
		"service": e.cfg.Service, "address": e.Address().String(), "zone": e.cfg.DataCentre, "version": e.version(), "slots": e.cfg.Slots,
		"state": e.state, "coldRemainingMs": 0, "sequence": e.sequence, "born": e.incarnationStart,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
	}
	e.store.PutJSON("keyed.servers", e.id, entry)
}

// Version returns the version of the software.
func (e *Endpoint) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version()
}

func (e *Endpoint) version() string {
	if e.cfg.Version == "" {
		return "v1"
	}
	return e.cfg.Version
}

// Drain writes an entry in the draining state.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	e.announce()
}

// MarkLeaving sets the Server-Leaving header in all later answers, without a change of the entry.
func (e *Endpoint) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Restart begins a new incarnation of the endpoint with the same address and ID.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.retryAfter, e.sequence = false, "", 0
	e.setLimit(nil)
	e.incarnationStart = max(e.incarnationStart+1, time.Now().UnixMilli())
	e.announce()
}

// RestartAs begins a new incarnation of the endpoint with the same address and ID, and another version of its software. Its entry
// is written after a delay; until then the store has that of the incarnation before.
func (e *Endpoint) RestartAs(version string, entryDelay time.Duration) {
	e.server.Load().CloseClientConnections()
	e.mu.Lock()
	e.cfg.Version, e.sequence = version, 0
	e.incarnationStart = max(e.incarnationStart+1, time.Now().UnixMilli())
	e.mu.Unlock()
	time.Sleep(entryDelay)
	e.Announce()
}

// Arrivals returns the number of HTTP requests received, control calls included.
func (e *Endpoint) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// RemoveEntry deletes the endpoint's entry from the store while the endpoint keeps running.
func (e *Endpoint) RemoveEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Put("keyed.servers", e.id, nil)
}

// SetFault injects a failure into all later requests; Healthy ends that.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns the requests that were run, in order of their start.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// RequestCount returns the number of requests received, refused ones included and control calls excluded.
func (e *Endpoint) RequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestCount
}

// Reserved returns the numbers of holds, KV cache handles and active runs.
func (e *Endpoint) Reserved() (holds, handles, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holds), len(e.handles), len(e.active)
}

// Orders returns the accepted orders, each as "STAGE HOLDER FENCE".
func (e *Endpoint) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.acceptedOrders...)
}

func (e *Endpoint) used() int {
	total := 0
	for _, n := range e.active {
		total += n
	}
	for _, n := range e.holds {
		total += n
	}
	return total
}

func (e *Endpoint) nextID(kind string) string {
	e.lastNumber++
	return fmt.Sprintf("%s-%s-%d", e.cfg.ID, kind, e.lastNumber)
}

// refuse answers with headers which state that the request was not run.
func (e *Endpoint) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(status)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if e.answersEarly() {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requestCount++
	e.recordArrival(w, r.Header.Get("Request-Id"))
	fault, stage, switching, self := e.fault, e.stage, e.switching, e.id
	e.mu.Unlock()
	e.cfg.Crashes.recordArrival(r)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != self {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if fault == Refuse || switching {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Stage") == "prefill" {
		if fault == Hang {
			<-r.Context().Done()
			return
		}
		e.prefill(w, r, stage)
		return
	}
	if stage == "prefill" {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if strings.Contains(string(body), Poison) {
		e.crash(r.Header.Get("Request-Id"), string(body))
		return
	}
	if part := e.cfg.Crashes.part(r); part != "" {
		e.crashUnder(part)
		return
	}
	e.run(w, r, string(body), fault)
}

// fullBody returns the complete body of an answer.
func (e *Endpoint) fullBody() string {
	if e.cfg.Events > 0 {
		return Events(e.cfg.Events)
	}
	return "answer of " + e.cfg.ID
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, body string, fault Fault) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	e.transferHandle(r.Header.Get("Kv-Source"), id)
	hold := r.Header.Get("Kv-Hold")
	tokens := e.holds[hold]
	delete(e.holds, hold)
	e.active[id] = tokens
	e.runs = append(e.runs, Run{
		ID: id, Path: r.RequestURI, Body: body, LastEventID: r.Header.Get("Last-Event-Id"), KVSource: r.Header.Get("Kv-Source"),
		Version: e.version(), Header: r.Header.Clone(),
	})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.active, id)
	}()
	switch fault {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		return
	case WrongRequestID:
		id = "another"
	case ExtraAnswer:
		writeTwoAnswers(w, id)
		return
	case RepeatRefusal:
		w.Header().Set("Request-Id", "earlier")
		e.refuse(w, http.StatusServiceUnavailable)
		return
	case Garbage, Unframed, CutUnframed, Reset, EndlessHeader, EndlessBody, EndlessEvent, Drip,
		ManyHeaders, EndlessInterim, EndlessExtension, EndlessTrailer:
		e.writeRawAnswer(w, r, id, fault)
		return
	case Healthy, Refuse, Fail, Truncate, EarlyAnswer, Slow:
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+e.cfg.ID)
	if e.cfg.Events > 0 {
		e.stream(w, r, fault)
		return
	}
	work := e.cfg.WorkTime
	if ms, err := strconv.Atoi(r.Header.Get(WorkTimeHeader)); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	time.Sleep(work)
	if n, err := strconv.Atoi(r.Header.Get(AnswerBytesHeader)); err == nil {
		writeSized(w, n, r.Header.Get(AnswerFramingHeader))
		return
	}
	answer := e.fullBody()
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if fault == Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}
