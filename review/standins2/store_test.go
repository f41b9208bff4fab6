//go:build review2

package standins2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems and maxPageBytes bound a page of the newest records, defaultReadKB a read.
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	defaultReadKB = 1024
)

type storeRecord struct {
	key   string
	value []byte
}

// storeTopic is a keyed topic with one partition.
type storeTopic struct {
	records []storeRecord
	// newest holds the offset of the newest record of each key, keys the keys with a value in their order.
	newest  map[string]int
	keys    []string
	changed chan struct{}
}

// pagedStore is the platform's store, with pages and limits on reads as the users' pages describe them.
type pagedStore struct {
	server *httptest.Server
	mu     sync.Mutex
	topics map[string]*storeTopic
}

func newPagedStore() *pagedStore {
	s := &pagedStore{topics: make(map[string]*storeTopic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.list)
	s.server = httptest.NewServer(mux)
	return s
}

func (s *pagedStore) address() string { return s.server.Listener.Addr().String() }

func (s *pagedStore) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: make(map[string]int), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) put(key string, value []byte) {
	t.records = append(t.records, storeRecord{key: key, value: value})
	i, found := slices.BinarySearch(t.keys, key)
	switch {
	case len(value) > 0 && !found:
		t.keys = slices.Insert(t.keys, i, key)
	case len(value) == 0 && found:
		t.keys = slices.Delete(t.keys, i, i+1)
	}
	t.newest[key] = len(t.records) - 1
	close(t.changed)
	t.changed = make(chan struct{})
}

// Put writes a record as servers, operators and other writers do.
func (s *pagedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).put(key, value)
}

// PutJSON writes a record with a JSON document.
func (s *pagedStore) PutJSON(topic, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("entry: %s", err)
	}
	s.Put(topic, key, data)
	return 0
}

func (s *pagedStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if text := query.Get("asOf"); text != "" && text != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, len(t.records))
		return
	}
	offset := len(t.records)
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		key := 1 + int(content[0])
		t.put(string(content[1:key]), slices.Clone(content[key:]))
		body = body[4+n:]
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, len(t.records))
}

func (s *pagedStore) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	maxKB, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	for hasEnded := wait == 0; len(t.records) == from && !hasEnded; {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			hasEnded = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		fmt.Fprint(w, `{"first":0}`)
		return
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < len(t.records); i++ {
		rec := t.records[i]
		if i > from && len(data)+len(rec.key)+len(rec.value) > maxKB<<10 {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(data, byte(len(rec.key)))
		data = append(append(data, rec.key...), rec.value...)
	}
	_, _ = w.Write(data)
}

func (s *pagedStore) list(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	i, found := slices.BinarySearch(t.keys, after)
	if found {
		i++
	}
	items, size := []item{}, 0
	for ; i < len(t.keys) && len(items) < maxPageItems; i++ {
		offset := t.newest[t.keys[i]]
		value := t.records[offset].value
		if len(items) > 0 && size+len(value) > maxPageBytes {
			break
		}
		items = append(items, item{Key: t.keys[i], Value: base64.StdEncoding.EncodeToString(value), Offset: offset})
		size += len(value)
	}
	more, end := i < len(t.keys), len(t.records)
	s.mu.Unlock()
	var b strings.Builder
	_ = json.NewEncoder(&b).Encode(map[string]any{"items": items, "more": more, "end": end})
	_, _ = io.WriteString(w, b.String())
}
