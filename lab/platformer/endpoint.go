package platformer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what goes wrong with a request at an endpoint.
type Fault string

// The faults.
const (
	// Healthy answers properly.
	Healthy Fault = ""
	// Lose runs the request and closes the connection without an answer.
	LoseAnswer Fault = "lose"
	// Refuse answers 503 with the promise that nothing ran.
	Refuse Fault = "refuse"
	// Fail runs the request and answers 500.
	Fail Fault = "fail"
	// Cut breaks the answer off in the middle.
	Truncate Fault = "cut"
	// Foreign answers with the id of another request.
	WrongRequestID Fault = "foreign"
	// Extra sends a second answer, to another request, after each one.
	ExtraAnswer Fault = "extra"
	// Early answers 413 without a look at the body.
	EarlyAnswer Fault = "early"
	// Hang answers nothing until the caller leaves.
	Hang Fault = "hang"
	// Noise answers with bytes that are no answer.
	Garbage Fault = "noise"
	// EndlessHead and EndlessBody send bytes without end, EndlessEvent an event without end, until the caller closes.
	EndlessHeader Fault = "endless head"
	EndlessBody   Fault = "endless body"
	EndlessEvent  Fault = "endless event"
	// Drip sends a byte of an event now and then, and no end. Slow makes its events further apart than routes want.
	Drip Fault = "drip"
	Slow Fault = "slow"
	// Unframed gives answers no length: their end is that of the connection.
	Unframed Fault = "unframed"
	// Reset resets the connection in the middle of an answer without a length.
	Reset Fault = "reset"
)

// Config describes an endpoint.
type Config struct {
	ID      string
	Service string
	Zone    string
	// Stage is prefill or decode, or empty for a plain service.
	Stage string
	// Slots and Memory bound what an engine holds, Memory in tokens.
	Slots        int
	MemoryTokens int
	// Events is the number of events of a stream, Pace the time between them.
	Events        int
	EventInterval time.Duration
	// Work is how long a plain request takes.
	WorkTime time.Duration
	// Switch is how long a change of the stage takes.
	StageSwitchTime time.Duration
}

// Run is a request that an endpoint ran.
type Run struct {
	ID   string
	Path string
	Body string
	// LastEvent is what the run went on from.
	LastEventID string
	// Source is the engine and handle of the prompt.
	KVSource string
	Header   http.Header
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	cfg              Config
	store            *Store
	server           *httptest.Server
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
	// orderDelay is how late orders are carried out.
	orderDelay   time.Duration
	lastNumber   int
	requestCount int
	switching    bool
	// parting has all answers say that the endpoint leaves.
	leaving bool
	// pause is what 503 asks callers to wait; while it is not empty, everything is turned away.
	retryAfter string
	// asked counts everything that arrived, calls beside requests too.
	arrivals int
}

// Start starts an endpoint and has it announce itself.
func Start(store *Store, cfg Config) *Endpoint {
	e := &Endpoint{
		cfg: cfg, store: store, stage: cfg.Stage, state: "ready", incarnationStart: time.Now().UnixMilli(),
		active: make(map[string]int), holds: make(map[string]int), handles: make(map[string]string),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold-take", e.takeHold)
	mux.HandleFunc("DELETE /api/hold-drop/{id}", e.dropHold)
	mux.HandleFunc("DELETE /api/kv-handle/{id}", e.dropHandle)
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.rejectIfPaused(w) {
			mux.ServeHTTP(w, r)
		}
	}))
	endpointsByAddress.Store(e.Address().String(), e)
	e.Announce()
	return e
}

// Address returns the endpoint's address.
func (e *Endpoint) Address() netip.AddrPort { return address(e.server) }

// Close ends the endpoint without a word.
func (e *Endpoint) Close() {
	e.server.CloseClientConnections()
	e.server.Close()
}

// Announce writes the endpoint's entry.
func (e *Endpoint) Announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announce()
}

func (e *Endpoint) announce() {
	e.sequence++
	entry := map[string]any{
		"service": e.cfg.Service, "address": e.Address().String(), "zone": e.cfg.Zone, "version": "v1", "slots": e.cfg.Slots,
		"state": e.state, "coldRemainingMs": 0, "sequence": e.sequence, "born": e.incarnationStart,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
	}
	e.store.PutJSON("keyed.servers", e.cfg.ID, entry)
}

// Leave announces that the endpoint drains.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	e.announce()
}

// Part has all answers say that the endpoint leaves, while its entry goes on as before.
func (e *Endpoint) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Restart has the endpoint go on as its next incarnation, at the same address and under the same id.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.retryAfter, e.sequence = false, "", 0
	e.incarnationStart = max(e.incarnationStart+1, time.Now().UnixMilli())
	e.announce()
}

// SetPause has the endpoint turn everything away and ask for a pause; an empty text ends that.
func (e *Endpoint) SetRetryAfter(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = text
}

// Asked returns how many requests and calls arrived here.
func (e *Endpoint) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// turnAway counts an arrival, and answers it if the endpoint asks for a pause.
func (e *Endpoint) rejectIfPaused(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if e.retryAfter == "" {
		return false
	}
	w.Header().Set("Retry-After", e.retryAfter)
	e.refuse(w, http.StatusServiceUnavailable)
	return true
}

// Vanish removes the endpoint's entry.
func (e *Endpoint) RemoveEntry() { e.store.Put("keyed.servers", e.cfg.ID, nil) }

// SetFault has all requests from now on go wrong in one way.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns the requests that ran here.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Sent returns how many requests arrived here, refused ones too.
func (e *Endpoint) RequestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestCount
}

// Reserved returns the number of holds, handles and runs that use memory.
func (e *Endpoint) Reserved() (holds, handles, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holds), len(e.handles), len(e.active)
}

// Orders returns the orders that were accepted, with their holders and fences.
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

// refuse answers with the promise that nothing ran.
func (e *Endpoint) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", e.cfg.ID)
	w.WriteHeader(status)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if e.answersEarly() {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requestCount++
	fault, stage, changing := e.fault, e.stage, e.switching
	e.mu.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.cfg.ID {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if fault == Refuse || changing {
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
	e.run(w, r, string(body), fault)
}

// wholeBody returns the body of an answer without faults.
func (e *Endpoint) fullBody() string {
	if e.cfg.Events > 0 {
		return Events(e.cfg.Events)
	}
	return "answer of " + e.cfg.ID
}

func (e *Endpoint) answersEarly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault == EarlyAnswer
}

// Poison in the body of a request crashes the endpoint that begins to run it.
const Poison = "poison"

// crash ends the endpoint with all its connections.
func (e *Endpoint) crash(id, body string) {
	e.mu.Lock()
	e.runs = append(e.runs, Run{ID: id, Body: body})
	e.mu.Unlock()
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
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
		Header: r.Header.Clone(),
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
	case Garbage, Unframed, Reset, EndlessHeader, EndlessBody, EndlessEvent, Drip:
		e.writeRawAnswer(w, id, fault)
		return
	case Healthy, Refuse, Fail, Truncate, EarlyAnswer, Slow:
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+e.cfg.ID)
	if e.cfg.Events > 0 {
		e.stream(w, r, fault)
		return
	}
	time.Sleep(e.cfg.WorkTime)
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
