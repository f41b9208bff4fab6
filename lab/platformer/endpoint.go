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
	Lose Fault = "lose"
	// Refuse answers 503 with the promise that nothing ran.
	Refuse Fault = "refuse"
	// Fail runs the request and answers 500.
	Fail Fault = "fail"
	// Cut breaks the answer off in the middle.
	Cut Fault = "cut"
	// Foreign answers with the id of another request.
	Foreign Fault = "foreign"
	// Extra sends a second answer, to another request, after each one.
	Extra Fault = "extra"
	// Early answers 413 without a look at the body.
	Early Fault = "early"
	// Hang answers nothing until the caller leaves.
	Hang Fault = "hang"
	// Noise answers with bytes that are no answer.
	Noise Fault = "noise"
	// EndlessHead and EndlessBody send bytes without end, EndlessEvent an event without end, until the caller closes.
	EndlessHead  Fault = "endless head"
	EndlessBody  Fault = "endless body"
	EndlessEvent Fault = "endless event"
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
	Slots  int
	Memory int
	// Events is the number of events of a stream, Pace the time between them.
	Events int
	Pace   time.Duration
	// Work is how long a plain request takes.
	Work time.Duration
	// Switch is how long a change of the stage takes.
	Switch time.Duration
}

// Run is a request that an endpoint ran.
type Run struct {
	ID   string
	Path string
	Body string
	// LastEvent is what the run went on from.
	LastEvent string
	// Source is the engine and handle of the prompt.
	Source string
	Header http.Header
}

// Endpoint is a model engine or a plain service.
type Endpoint struct {
	cfg     Config
	store   *Store
	server  *httptest.Server
	mu      sync.Mutex
	stage   string
	state   string
	born    int64
	beats   int64
	fault   Fault
	runs    []Run
	active  map[string]int
	holds   map[string]int
	handles map[string]string
	orders  int64
	fence   uint64
	ordered []string
	// orderDelay is how late orders are carried out.
	orderDelay time.Duration
	number     int
	sent       int
	cut        bool
	// parting has all answers say that the endpoint leaves.
	parting bool
	// pause is what 503 asks callers to wait; while it is not empty, everything is turned away.
	pause string
	// asked counts everything that arrived, calls beside requests too.
	asked int
}

// Start starts an endpoint and has it announce itself.
func Start(store *Store, cfg Config) *Endpoint {
	e := &Endpoint{
		cfg: cfg, store: store, stage: cfg.Stage, state: "ready", born: time.Now().UnixMilli(),
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
		if !e.turnAway(w) {
			mux.ServeHTTP(w, r)
		}
	}))
	peers.Store(e.Address().String(), e)
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
	e.beats++
	entry := map[string]any{
		"service": e.cfg.Service, "address": e.Address().String(), "zone": e.cfg.Zone, "version": "v1", "slots": e.cfg.Slots,
		"state": e.state, "coldRemainingMs": 0, "sequence": e.beats, "born": e.born,
	}
	if e.stage != "" {
		entry["stage"] = e.stage
	}
	e.store.PutJSON("keyed.servers", e.cfg.ID, entry)
}

// Leave announces that the endpoint drains.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	e.announce()
}

// Part has all answers say that the endpoint leaves, while its entry goes on as before.
func (e *Endpoint) Part() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parting = true
}

// Restart has the endpoint go on as its next incarnation, at the same address and under the same id.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parting, e.pause, e.beats = false, "", 0
	e.born = max(e.born+1, time.Now().UnixMilli())
	e.announce()
}

// SetPause has the endpoint turn everything away and ask for a pause; an empty text ends that.
func (e *Endpoint) SetPause(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = text
}

// Asked returns how many requests and calls arrived here.
func (e *Endpoint) Asked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

// turnAway counts an arrival, and answers it if the endpoint asks for a pause.
func (e *Endpoint) turnAway(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if e.parting {
		w.Header().Set("Server-Leaving", "1")
	}
	if e.pause == "" {
		return false
	}
	w.Header().Set("Retry-After", e.pause)
	e.refuse(w, http.StatusServiceUnavailable)
	return true
}

// Vanish removes the endpoint's entry.
func (e *Endpoint) Vanish() { e.store.Put("keyed.servers", e.cfg.ID, nil) }

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
func (e *Endpoint) Sent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent
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
	return append([]string(nil), e.ordered...)
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

func (e *Endpoint) next(kind string) string {
	e.number++
	return fmt.Sprintf("%s-%s-%d", e.cfg.ID, kind, e.number)
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
	e.sent++
	fault, stage, changing := e.fault, e.stage, e.cut
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
func (e *Endpoint) wholeBody() string {
	if e.cfg.Events > 0 {
		return Events(e.cfg.Events)
	}
	return "answer of " + e.cfg.ID
}

func (e *Endpoint) answersEarly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault == Early
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
	e.takeHandle(r.Header.Get("Kv-Source"), id)
	hold := r.Header.Get("Kv-Hold")
	tokens := e.holds[hold]
	delete(e.holds, hold)
	e.active[id] = tokens
	e.runs = append(e.runs, Run{
		ID: id, Path: r.RequestURI, Body: body, LastEvent: r.Header.Get("Last-Event-Id"), Source: r.Header.Get("Kv-Source"),
		Header: r.Header.Clone(),
	})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.active, id)
	}()
	switch fault {
	case Lose:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		return
	case Foreign:
		id = "another"
	case Extra:
		answerTwice(w, id)
		return
	case Noise, Unframed, Reset, EndlessHead, EndlessBody, EndlessEvent, Drip:
		e.answerRaw(w, id, fault)
		return
	case Healthy, Refuse, Fail, Cut, Early, Slow:
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+e.cfg.ID)
	if e.cfg.Events > 0 {
		e.stream(w, r, fault)
		return
	}
	time.Sleep(e.cfg.Work)
	answer := e.wholeBody()
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if fault == Cut {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}
