// Package emulator is a test double of the platform that users run: its store, model engines and plain services, with
// fault injection. It is written from the platform's documentation only and shares no code with the platform adapter.
package emulator

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

// record is a keyed record of a topic; an empty value removes the key.
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

// notifyReaders unblocks long-polling reads of the topic.
func (t *topic) notifyReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Store is an in-memory log store whose topics have one partition each.
type Store struct {
	server    *httptest.Server
	handler   http.Handler
	mu        sync.Mutex
	frontends []*Frontend
	topics    map[string]*topic
	// snapshot holds the topics as of the last call of Snapshot, era counts restores.
	snapshot map[string]*topic
	era      int
	down     bool
	// answersToLose is the number of appends still to be applied without an answer.
	answersToLose int
	calls         int
}

// NewStore starts a store on a free loopback port. The caller must close it.
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
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	s.server = httptest.NewServer(s.handler)
	return s
}

// FrontendMode is the way in which a Frontend answers requests.
type FrontendMode string

// Modes of a Frontend.
const (
	// Serving passes requests on to the store.
	Serving FrontendMode = ""
	// Unavailable answers every request with 503, Busy with 429.
	Unavailable FrontendMode = "unavailable"
	Busy        FrontendMode = "busy"
	// Broken closes connections without an answer, Unresponsive never answers.
	Broken       FrontendMode = "broken"
	Unresponsive FrontendMode = "silent"
)

// Frontend is an additional address of a Store, whose faults don't affect the other addresses.
type Frontend struct {
	server *httptest.Server
	mode   atomic.Value
	calls  atomic.Int64
}

// NewFrontend serves the store on one more free loopback port. It is closed together with the store.
func (s *Store) NewFrontend() *Frontend {
	f := &Frontend{}
	f.SetMode(Serving)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		switch f.mode.Load() {
		case Unavailable:
			http.Error(w, "rejected by the frontend", http.StatusServiceUnavailable)
		case Busy:
			http.Error(w, "rejected by the frontend", http.StatusTooManyRequests)
		case Broken:
			panic(http.ErrAbortHandler)
		case Unresponsive:
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body has been read
			<-r.Context().Done()
		default:
			s.handler.ServeHTTP(w, r)
		}
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frontends = append(s.frontends, f)
	return f
}

// Address returns the loopback address that the frontend listens on.
func (f *Frontend) Address() netip.AddrPort { return address(f.server) }

// Calls returns the number of calls to the frontend so far.
func (f *Frontend) Calls() int { return int(f.calls.Load()) }

// SetMode sets how all later requests to the frontend are answered.
func (f *Frontend) SetMode(m FrontendMode) { f.mode.Store(m) }

// Address returns the loopback address of the store that bypasses all frontends.
func (s *Store) Address() netip.AddrPort { return address(s.server) }

func address(server *httptest.Server) netip.AddrPort {
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the store and its frontends and drops their open connections.
func (s *Store) Close() {
	s.mu.Lock()
	frontends := s.frontends
	s.mu.Unlock()
	for _, f := range frontends {
		f.server.CloseClientConnections()
		f.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown starts or ends an outage, in which every request is answered with 503.
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

// Snapshot saves the current topics for RestoreSnapshot.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = make(map[string]*topic)
	for name, t := range s.topics {
		s.snapshot[name] = &topic{records: slices.Clone(t.records), first: t.first}
	}
}

// RestoreSnapshot resets the topics to the last Snapshot and begins a new era. Records acknowledged since are lost.
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

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Expire compacts a topic: only the newest record of each key remains, at offsets after all previous ones.
func (s *Store) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	values := s.latestValues(name)
	t.first = t.end()
	t.records = nil
	for key, value := range values {
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

// topic returns the named topic and creates it if needed. The caller must hold mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record as operators and endpoints do and returns its offset; an empty value removes the key.
func (s *Store) Put(name, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	t.notifyReaders()
	return t.end() - 1
}

// PutJSON appends a record with the value encoded as JSON and returns its offset.
func (s *Store) PutJSON(name, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("emulator: unable to encode the value of %s as JSON: %s", key, err))
	}
	return s.Put(name, key, data)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		http.Error(w, "unable to read the record: it is shorter than 5 bytes or the body is cut off", http.StatusBadRequest)
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
		keyLength := int(content[0])
		t.records = append(t.records, record{key: string(content[1 : 1+keyLength]), value: append([]byte(nil), content[1+keyLength:]...)})
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
		http.Error(w, "unable to parse the query parameter from: an offset is expected", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs")) // an absent parameter means no wait
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
	w.Header().Set("Store-Era", strconv.Itoa(s.era)) // a snapshot may have been restored during the wait
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
