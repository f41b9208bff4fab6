// Package platformer is a small stand-in for the users' platform: its store, model engines and plain services, with
// switches for their faults. It is written from the platform's pages alone and shares no code with the adapter.
package platformer

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	first   uint64
	changed chan struct{}
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// signal wakes those who wait for a change.
func (t *topic) notifyReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Store keeps topics of one partition in memory.
type Store struct {
	server    *httptest.Server
	handler   http.Handler
	mu        sync.Mutex
	frontends []*Frontend
	topics    map[string]*topic
	// copied are the topics as Copy found them, era how often the store came back from a copy.
	snapshot map[string]*topic
	era      int
	down     bool
	// lost is the number of appends still to be carried out without an answer.
	answersToLose int
	calls         int
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.down
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	s.server = httptest.NewServer(s.handler)
	return s
}

// Door is how a gate answers.
type FrontendMode string

// The doors.
const (
	// Open serves.
	Serving FrontendMode = ""
	// Unavailable answers 503, Busy 429.
	Unavailable FrontendMode = "unavailable"
	Busy        FrontendMode = "busy"
	// Broken resets connections, Silent never answers.
	Broken       FrontendMode = "broken"
	Unresponsive FrontendMode = "silent"
)

// Gate is an address of a store that can be closed while the others stay open.
type Frontend struct {
	server *httptest.Server
	mode   atomic.Value
}

// NewGate opens one more address of the store.
func (s *Store) NewFrontend() *Frontend {
	g := &Frontend{}
	g.SetMode(Serving)
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch g.mode.Load() {
		case Unavailable:
			http.Error(w, "turned away", http.StatusServiceUnavailable)
		case Busy:
			http.Error(w, "turned away", http.StatusTooManyRequests)
		case Broken:
			panic(http.ErrAbortHandler)
		case Unresponsive:
			_, _ = io.Copy(io.Discard, r.Body) // with a body unread the server does not notice that the caller is gone
			<-r.Context().Done()
		default:
			s.handler.ServeHTTP(w, r)
		}
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frontends = append(s.frontends, g)
	return g
}

// Address returns the gate's address.
func (g *Frontend) Address() netip.AddrPort { return address(g.server) }

// Set has every later call through the gate answered in one way.
func (g *Frontend) SetMode(d FrontendMode) { g.mode.Store(d) }

// Address returns the store's address.
func (s *Store) Address() netip.AddrPort { return address(s.server) }

func address(server *httptest.Server) netip.AddrPort {
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the store.
func (s *Store) Close() {
	s.mu.Lock()
	gates := s.frontends
	s.mu.Unlock()
	for _, g := range gates {
		g.server.CloseClientConnections()
		g.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown has every call refused, or served again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for _, t := range s.topics {
			t.notifyReaders()
		}
	}
}

// Copy keeps the topics as they are now for Return.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = make(map[string]*topic)
	for name, t := range s.topics {
		s.snapshot[name] = &topic{records: slices.Clone(t.records), first: t.first}
	}
}

// Return has the store come back as it was at the last Copy, in the next era. What was acknowledged since is gone.
func (s *Store) RestoreSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		old := s.snapshot[name]
		if old == nil {
			old = &topic{}
		}
		t.records, t.first = slices.Clone(old.records), old.first
		t.notifyReaders()
	}
}

// LoseAnswers has the next n appends carried out without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Expire deletes the records of a topic; the newest of each key can still be had.
func (s *Store) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	kept := s.latestValues(name)
	t.first = t.end()
	t.records = nil
	for key, value := range kept {
		t.records = append(t.records, record{key: key, value: value})
	}
	t.notifyReaders()
}

func (s *Store) latestValues(name string) map[string][]byte {
	latest := make(map[string][]byte)
	for _, r := range s.topic(name).records {
		if len(r.value) == 0 {
			delete(latest, r.key)
			continue
		}
		latest[r.key] = r.value
	}
	return latest
}

// topic returns a topic. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends the value of a key as the operator and the endpoints do; an empty one removes the key.
func (s *Store) Put(name, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	t.notifyReaders()
	return t.end() - 1
}

// PutJSON appends a value in JSON.
func (s *Store) PutJSON(name, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("platformer: unable to encode %s: %s", key, err))
	}
	return s.Put(name, key, data)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		http.Error(w, "no record", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if text := r.URL.Query().Get("asOf"); text != "" && text != strconv.FormatUint(t.end(), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, t.end())
		return
	}
	offset := t.end()
	for len(body) >= 5 {
		n := binary.BigEndian.Uint32(body)
		content := body[4 : 4+n]
		keyed := int(content[0])
		t.records = append(t.records, record{key: string(content[1 : 1+keyed]), value: append([]byte(nil), content[1+keyed:]...)})
		body = body[4+n:]
	}
	t.notifyReaders()
	if s.answersToLose > 0 {
		s.answersToLose--
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, t.end())
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // absent stands for 0
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	for t.end() == from && ctx.Err() == nil && !s.down {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era)) // it may have come back meanwhile
	if from < t.first || from > t.end() {
		w.WriteHeader(http.StatusGone)
		fmt.Fprintf(w, `{"first":%d}`, t.first)
		return
	}
	data := binary.BigEndian.AppendUint64(nil, t.end())
	data = binary.BigEndian.AppendUint64(data, t.first)
	for i := from; i < t.end(); i++ {
		record := t.records[i-t.first]
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
		data = append(append(append(data, byte(len(record.key))), record.key...), record.value...)
	}
	_, _ = w.Write(data)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := make(map[string]item)
	for i, record := range t.records {
		latest[record.key] = item{Key: record.key, Value: base64.StdEncoding.EncodeToString(record.value), Offset: t.first + uint64(i)}
		if len(record.value) == 0 {
			delete(latest, record.key)
		}
	}
	items := []item{}
	for _, i := range latest {
		items = append(items, i)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": t.end()})
}
