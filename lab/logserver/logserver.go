// Package logserver simulates the log service of the platform, with fault injection.
package logserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
)

const (
	// maxRecordBytes limits the size of one record.
	maxRecordBytes = 4 << 20
	// maxPageRecords limits the number of records per page.
	maxPageRecords = 1000
)

// Faults configures fault injection. LoseAnswers is the number of further appends that take effect without an answer.
type Faults struct {
	Outage      bool   `json:"outage"`
	LoseAnswers int    `json:"lose"`
	Delay       string `json:"delay"`
}

// Options configure a Log. Records never expire if Retention is 0, and appends are unlimited if Rate is 0.
type Options struct {
	Retention time.Duration
	Rate      limiter.Rate
}

type stream struct {
	records []logclient.Record
	oldest  uint64
	changed chan struct{}
}

// Log is an in-memory log service.
type Log struct {
	options Options
	mu      sync.Mutex
	streams map[string]*stream
	bucket  limiter.Bucket
	faults  Faults
	delay   time.Duration
	appends int
}

// New returns a log without streams; each is created at its first use.
func New(o Options) *Log {
	return &Log{options: o, streams: make(map[string]*stream)}
}

// Routes returns the HTTP API of the log and of its fault injection.
func (l *Log) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/streams/:stream/records", Handler: l.append},
		{Method: http.MethodGet, Path: "/v1/streams/:stream/records", Handler: l.read},
		{Method: http.MethodPut, Path: "/v1/faults", Handler: l.setFaults},
		{Method: http.MethodGet, Path: "/v1/appends", Handler: l.count},
	}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire removes records older than the retention. The caller must hold mu.
func (l *Log) expire(s *stream, now time.Time) {
	if l.options.Retention == 0 {
		return
	}
	n := 0
	for n < len(s.records) && now.Sub(s.records[n].Time) > l.options.Retention {
		n++
	}
	s.records = s.records[n:]
	s.oldest += uint64(n)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A delayed append takes effect even if its sender has cancelled the request.
	if !l.applyFaults(r.WithContext(context.WithoutCancel(r.Context()))) {
		return
	}
	offset, lost, ok := l.appendRecord(pathvar.Vars(r)["stream"], data)
	if !ok {
		http.Error(w, "rate limit of the log exceeded", http.StatusTooManyRequests)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	httpx.OkJson(w, logclient.Appended{Offset: offset})
}

func (l *Log) appendRecord(name string, data []byte) (offset uint64, lost, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.options.Rate.PerSecond > 0 {
		if _, ok := l.bucket.Take(now, l.options.Rate); !ok {
			return 0, false, false
		}
	}
	s := l.stream(name)
	l.expire(s, now)
	offset = s.oldest + uint64(len(s.records))
	s.records = append(s.records, logclient.Record{Offset: offset, Time: now, Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return offset, true, true
	}
	return offset, false, true
}

// applyFaults waits for the delay and reports whether to go on. During an outage it drops the connection.
func (l *Log) applyFaults(r *http.Request) bool {
	l.mu.Lock()
	delay, outage := l.delay, l.faults.Outage
	l.mu.Unlock()
	if outage {
		panic(http.ErrAbortHandler)
	}
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "unable to parse the query parameter from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if !l.applyFaults(r) {
			return
		}
		page, changed, status := l.page(pathvar.Vars(r)["stream"], from)
		if status != http.StatusOK || len(page.Records) > 0 {
			httpx.WriteJson(w, status, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			httpx.OkJson(w, page)
			return
		}
	}
}

func (l *Log) page(name string, from uint64) (logclient.Page, <-chan struct{}, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s, time.Now())
	if from < s.oldest {
		return logclient.Page{Oldest: s.oldest}, nil, http.StatusGone
	}
	records := s.records[min(from-s.oldest, uint64(len(s.records))):]
	records = records[:min(len(records), maxPageRecords)]
	return logclient.Page{Records: append([]logclient.Record{}, records...), Oldest: s.oldest}, s.changed, http.StatusOK
}

func (l *Log) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var delay time.Duration
	if f.Delay != "" {
		d, err := time.ParseDuration(f.Delay)
		if err != nil {
			http.Error(w, "unable to parse the delay: "+err.Error(), http.StatusBadRequest)
			return
		}
		delay = d
	}
	l.mu.Lock()
	l.faults = f
	l.delay = delay
	l.notifyReaders()
	l.mu.Unlock()
	httpx.OkJson(w, f)
}

// notifyReaders unblocks long-polling reads, so that an outage also affects them. The caller must hold mu.
func (l *Log) notifyReaders() {
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// AppendCount answers a request for the number of appends that took effect.
type AppendCount struct {
	Appends int `json:"appends"`
}

func (l *Log) count(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpx.OkJson(w, AppendCount{Appends: l.appends})
}
