package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Plain is a stand-in of a plain engine. It serves the requests that expect it, slots of them at a time with a short queue,
// and states what it has not run.
type Plain struct {
	ID, Service, Zone, Address string
	Born                       int64
	slots                      chan struct{}
	queued                     atomic.Int64
	work                       time.Duration
	store                      *Store
	server                     *http.Server
	mu                         sync.Mutex
	runs                       []Run
	sequence                   int
	stop                       chan struct{}
	stopOnce                   sync.Once
	// write writes the answer; the default is one with a length.
	write func(w http.ResponseWriter, id string)
}

// Run is a request that an engine ran.
type Run struct {
	ID, Engine, Target, Host string
	Began, Ended             time.Time
	// IsComplete is set if the answer was written completely.
	IsComplete bool
}

const (
	plainSlots = 6
	plainQueue = 24
)

// Body is the whole body of an engine's answer to a request.
func Body(id string) string {
	text := ""
	for len(text) < 800 {
		text += "answer to " + id + "\n"
	}
	return text
}

// StartPlain starts an engine, which writes its entry every heartbeat.
func StartPlain(store *Store, id, service, zone string, work time.Duration) (*Plain, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Plain{
		ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Born: time.Now().UnixMilli(), work: work, store: store,
		slots: make(chan struct{}, plainSlots), stop: make(chan struct{}),
	}
	p.write = func(w http.ResponseWriter, id string) {
		body := Body(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(l) }()
	if store != nil {
		go p.announce()
	}
	return p, nil
}

func (p *Plain) announce() {
	for {
		p.sequence++
		p.store.Put(serversTopic, p.ID, map[string]any{
			"service": p.Service, "address": p.Address, "zone": p.Zone, "version": "v1", "slots": plainSlots, "state": "ready",
			"coldRemainingMs": 0, "sequence": p.sequence, "born": p.Born,
		})
		select {
		case <-p.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// StopAnnouncing ends the heartbeats.
func (p *Plain) StopAnnouncing() { p.stopOnce.Do(func() { close(p.stop) }) }

// Exit ends the engine at once.
func (p *Plain) Exit() {
	p.StopAnnouncing()
	_ = p.server.Close()
}

// Runs returns the requests that were run.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}

func (p *Plain) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", p.ID)
	w.WriteHeader(status)
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.ID {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		p.refuse(w, http.StatusBadRequest)
		return
	}
	if p.queued.Add(1) > plainSlots+plainQueue {
		p.queued.Add(-1)
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer p.queued.Add(-1)
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.After(deadline)
	select {
	case p.slots <- struct{}{}:
	case <-end:
		p.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-p.slots }()
	p.mu.Lock()
	n := len(p.runs)
	p.runs = append(p.runs, Run{ID: id, Engine: p.ID, Target: r.RequestURI, Host: r.Host, Began: time.Now()})
	p.mu.Unlock()
	isComplete := false
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runs[n].Ended, p.runs[n].IsComplete = time.Now(), isComplete
	}()
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	case <-end:
		w.Header().Set("Response-Seal", Seal(id))
		http.Error(w, "deadline", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Seal", Seal(id))
	p.write(w, id)
	isComplete = true
}

// Seal is the signature of an answer to a request.
func Seal(id string) string { return fmt.Sprintf("seal.%s", id) }
