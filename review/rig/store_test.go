package rig

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store. It has keyed topics with one partition each, conditional appends
// and long polls. Entries of engines lapse after three heartbeats of silence.
type Store struct {
	Address string
	server  *http.Server
	mu      sync.Mutex
	topics  map[string]*topic
	renewed map[string]time.Time
	done    chan struct{}
}

type topic struct {
	records []record
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
}

const (
	heartbeat    = 1200 * time.Millisecond
	serversTopic = "keyed.servers"
	configTopic  = "keyed.op"
)

// StartStore serves a store on a free loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(), topics: make(map[string]*topic), renewed: make(map[string]time.Time), done: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() {
	close(s.done)
	_ = s.server.Close()
}

// expire removes the entries of engines that have been silent for three heartbeats.
func (s *Store) expire() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		var silent []string
		for id, at := range s.renewed {
			if time.Since(at) > 3*heartbeat {
				silent = append(silent, id)
			}
		}
		s.mu.Unlock()
		for _, id := range silent {
			s.Remove(id)
		}
	}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(r record) {
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a value under a key, as the operator and engines do. No value removes the key.
func (s *Store) Put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(record{key: key, value: data})
	if name == serversTopic {
		s.renewed[key] = time.Now()
		if value == nil {
			delete(s.renewed, key)
		}
	}
}

// Remove removes the entry of an engine.
func (s *Store) Remove(id string) { s.Put(serversTopic, id, nil) }

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if err != nil || name == serversTopic || name == configTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if asOf := r.URL.Query().Get("asOf"); asOf != "" && asOf != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, len(t.records))
		return
	}
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		if n == 0 {
			t.add(record{})
			continue
		}
		k := 1 + int(content[0])
		t.add(record{key: string(content[1:k]), value: content[k:]})
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(t.records))
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	for len(t.records) <= from && ctx.Err() == nil {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		fmt.Fprint(w, `{"first":0}`)
		return
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, rec := range t.records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(data, rec.key...)
		data = append(data, rec.value...)
	}
	_, _ = w.Write(data)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := make(map[string]item)
	for i, rec := range t.records {
		latest[rec.key] = item{Key: rec.key, Value: base64.StdEncoding.EncodeToString(rec.value), Offset: i}
		if len(rec.value) == 0 {
			delete(latest, rec.key)
		}
	}
	items := []item{}
	for _, i := range latest {
		items = append(items, i)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}
