package modelserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// Roles of an engine, as in its load report.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Options hold the identity, capacity and speed of an Engine.
type Options struct {
	Name string
	Role string
	// Address is where decode engines fetch the KV cache of this engine.
	Address string
	// Slots limits the number of requests that are decoded concurrently.
	Slots int
	// Blocks is the size of the KV memory in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// Rate is the speed of prefill in tokens per second.
	Rate float64
	// StepTime is the time per output token.
	StepTime time.Duration
	// ResultRetention is how long the KV cache of a prefill is held for decode engines.
	ResultRetention time.Duration
	// LinkRate is the speed of KV export in tokens per second.
	LinkRate float64
	// ReportLag is the interval between updates of the load report, and so its greatest age.
	ReportLag time.Duration
	// CacheTokens limits the size of the prefix cache.
	CacheTokens int
	// CrashWord ends the process if a prompt contains it; "" disables this.
	CrashWord string
}

var (
	errCancelled = errors.New("modelserver: unable to complete the request: the attempt was cancelled")
	errMemory    = errors.New("modelserver: unable to reserve KV memory: too few blocks are free")
	errExpired   = errors.New("modelserver: unable to transfer the KV cache: it has expired or was released")
)

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	id      string
	attempt uint64
}

type inFlight struct {
	blocks   int
	priority int
	cancel   context.CancelFunc
	next     int
}

// Engine simulates prefill and decode at configured speeds.
type Engine struct {
	options      Options
	incarnation  string
	client       *http.Client
	mu           sync.Mutex
	inFlight     map[attemptKey]*inFlight
	tombstones   map[attemptKey]time.Time
	prefillQueue *prioritySemaphore
	decodeSlots  *prioritySemaphore
	exportLink   sync.Mutex
	results      map[string]*prefillResult
	cache        *prefixCache
	load         completer.Load
	backlog      int
	leaving      bool
	counts       Counts
	stepDone     chan struct{}
}

// tombstoneRetention is how long a cancelled attempt is refused if its request arrives after the cancellation.
const tombstoneRetention = 30 * time.Second

// New returns an engine that updates its load report and emits tokens until ctx ends.
func New(ctx context.Context, o Options) *Engine {
	e := &Engine{
		options:      o,
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		client:       &http.Client{},
		inFlight:     make(map[attemptKey]*inFlight),
		tombstones:   make(map[attemptKey]time.Time),
		prefillQueue: newPrioritySemaphore(1),
		decodeSlots:  newPrioritySemaphore(o.Slots),
		results:      make(map[string]*prefillResult),
		cache:        newPrefixCache(o.CacheTokens),
		stepDone:     make(chan struct{}),
	}
	e.load = e.currentLoad()
	go e.refreshLoad(ctx)
	go e.runSteps(ctx)
	return e
}

// Routes returns the HTTP API of the engine.
func (e *Engine) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.complete},
		{Method: http.MethodGet, Path: "/v1/load", Handler: e.getLoad},
		{Method: http.MethodGet, Path: "/v1/state", Handler: e.getState},
		{Method: http.MethodDelete, Path: "/v1/requests", Handler: e.cancel},
		{Method: http.MethodGet, Path: "/v1/requests", Handler: e.getState},
		{Method: http.MethodGet, Path: "/v1/kv", Handler: e.exportKV},
	}
}

// Drain makes the engine refuse new requests and report that it is leaving.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// IsIdle reports whether there are neither in-flight requests nor stored prefill results.
func (e *Engine) IsIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight) == 0 && len(e.results) == 0
}

func (e *Engine) refreshLoad(ctx context.Context) {
	ticker := time.NewTicker(max(e.options.ReportLag, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.Lock()
			e.load = e.currentLoad()
			e.mu.Unlock()
		}
	}
}

// runSteps releases one token of each running request per StepTime, as in batched decoding.
func (e *Engine) runSteps(ctx context.Context) {
	ticker := time.NewTicker(max(e.options.StepTime, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.Lock()
			close(e.stepDone)
			e.stepDone = make(chan struct{})
			e.mu.Unlock()
		}
	}
}

func (e *Engine) nextStep() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepDone
}

// currentLoad computes the load. The caller must hold mu, unless the engine is not yet shared.
func (e *Engine) currentLoad() completer.Load {
	held := 0
	for _, f := range e.inFlight {
		held += f.blocks
	}
	for _, r := range e.results {
		held += r.blocks
	}
	running, waiting := e.decodeSlots.counts()
	if e.options.Role == RolePrefill {
		running, waiting = e.prefillQueue.counts()
	}
	return completer.Load{
		Engine: e.options.Name, Incarnation: e.incarnation, Role: e.options.Role, Leaving: e.leaving,
		Running: running, Waiting: waiting, Slots: e.options.Slots,
		Held: held, Blocks: e.options.Blocks, BlockTokens: e.options.BlockTokens,
		Backlog: e.backlog, Rate: e.options.Rate, StepMillis: float64(e.options.StepTime) / float64(time.Millisecond),
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.load
	l.Leaving = e.leaving
	httpx.OkJson(w, l)
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Load: e.currentLoad(), Counts: e.counts, Requests: []InFlightRequest{}}
	for k, f := range e.inFlight {
		s.Requests = append(s.Requests, InFlightRequest{ID: k.id, Attempt: k.attempt, Blocks: f.blocks})
	}
	for handle, r := range e.results {
		s.Requests = append(s.Requests, InFlightRequest{ID: handle, Attempt: r.key.attempt, Blocks: r.blocks})
	}
	httpx.OkJson(w, s)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completer.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := completer.Prompt(req.Messages)
	if e.options.CrashWord != "" && strings.Contains(prompt, e.options.CrashWord) {
		os.Exit(1)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	key := attemptKey{id: req.RequestID, attempt: req.Attempt}
	if status := e.admit(key, req, cancel); status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.remove(key)
	if e.options.Role == RolePrefill {
		e.servePrefill(ctx, w, key, req, prompt)
		return
	}
	e.serveDecode(ctx, w, key, req, prompt)
}

// admit registers an attempt and returns 0, or the HTTP status with which to refuse it.
func (e *Engine) admit(key attemptKey, req completer.Request, cancel context.CancelFunc) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.tombstones[key]; ok {
		return http.StatusConflict
	}
	if e.leaving {
		return http.StatusServiceUnavailable
	}
	if _, ok := e.inFlight[key]; ok {
		return http.StatusConflict
	}
	e.inFlight[key] = &inFlight{priority: req.Priority, cancel: cancel}
	return 0
}

func (e *Engine) remove(key attemptKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight, key)
}

// reserve allocates KV blocks to an attempt.
func (e *Engine) reserve(key attemptKey, tokens int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := (tokens + e.options.BlockTokens - 1) / e.options.BlockTokens
	if e.currentLoad().Held+blocks > e.options.Blocks {
		return errMemory
	}
	e.inFlight[key].blocks = blocks
	return nil
}

// CancelAnswer answers a cancellation. Known reports whether the attempt was in flight or had a stored result.
type CancelAnswer struct {
	Known bool `json:"known"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 64)
	if err != nil {
		http.Error(w, "unable to parse the query parameter attempt: "+err.Error(), http.StatusBadRequest)
		return
	}
	key := attemptKey{id: r.URL.Query().Get("id"), attempt: attempt}
	known := e.cancelAttempt(key)
	httpx.OkJson(w, CancelAnswer{Known: known})
}

func (e *Engine) cancelAttempt(key attemptKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for k, at := range e.tombstones {
		if now.Sub(at) > tombstoneRetention {
			delete(e.tombstones, k)
		}
	}
	e.tombstones[key] = now
	f, ok := e.inFlight[key]
	if ok {
		f.cancel()
		e.counts.Cancelled++
	}
	for handle, result := range e.results {
		if result.key == key {
			e.discard(handle)
			ok = true
		}
	}
	return ok
}
