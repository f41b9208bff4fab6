// Package plainserver simulates a plain service that counts runs by idempotency key, with fault injection.
package plainserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// maxBodyBytes limits the request body of a call.
const maxBodyBytes = 1 << 20

// Faults configures fault injection. LoseAnswers and Refuse are the numbers of further calls affected; GET calls always
// get an answer.
type Faults struct {
	LoseAnswers int    `json:"lose"`
	Refuse      int    `json:"refuse"`
	Delay       string `json:"delay"`
}

// Run describes one run of a call. Number counts the runs of Key.
type Run struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Number int    `json:"number"`
}

// Runs holds the number of runs, in total and by key.
type Runs struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"keys"`
}

// Service answers each call with a Run.
type Service struct {
	mu      sync.Mutex
	delay   time.Duration
	faults  Faults
	total   int
	byKey   map[string]int
	active  int
	leaving bool
}

// New returns a service whose calls take delay, until it is changed by Faults.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, byKey: make(map[string]int)}
}

// Routes returns the HTTP API for run counts and fault injection; Call serves all other paths.
func (s *Service) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/lab/runs", Handler: s.getRuns},
		{Method: http.MethodPut, Path: "/lab/faults", Handler: s.setFaults},
	}
}

// Drain makes the service refuse new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// IsIdle reports whether no call is running.
func (s *Service) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active == 0
}

// Call serves all paths that Routes doesn't contain. A path that ends in /status/KEY reports whether KEY was run.
func (s *Service) Call(w http.ResponseWriter, r *http.Request) {
	if _, key, ok := strings.Cut(r.URL.Path, "/status/"); ok && r.Method == http.MethodGet {
		s.status(w, key)
		return
	}
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, delay, refuse, lose := s.begin(r)
	if refuse {
		http.Error(w, "call refused without a run", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	s.end()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Run", run.Key)
	httpx.OkJson(w, run)
}

func (s *Service) begin(r *http.Request) (run Run, delay time.Duration, refuse, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return run, 0, true, false
	}
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		return run, 0, true, false
	}
	s.total++
	s.active++
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		s.byKey[key]++
	}
	if s.faults.LoseAnswers > 0 && r.Method != http.MethodGet {
		s.faults.LoseAnswers--
		lose = true
	}
	return Run{Key: key, Method: r.Method, Path: r.URL.Path, Number: s.byKey[key]}, s.delay, false, lose
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *Service) status(w http.ResponseWriter, key string) {
	s.mu.Lock()
	n := s.byKey[key]
	s.mu.Unlock()
	if n == 0 {
		http.Error(w, "no run of this idempotency key", http.StatusNotFound)
		return
	}
	httpx.OkJson(w, Run{Key: key, Number: n})
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpx.OkJson(w, Runs{Total: s.total, ByKey: s.byKey})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if d, err := time.ParseDuration(f.Delay); err == nil {
		s.delay = d
	}
	httpx.OkJson(w, f)
}
