package router

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// trace collects what was decided on a request, for the line at its end.
type trace struct {
	steps []string
	keys  []any
}

// step adds one decision.
func (t *trace) step(format string, args ...any) {
	t.steps = append(t.steps, fmt.Sprintf(format, args...))
}

// set adds a name and a value.
func (t *trace) set(key string, value any) { t.keys = append(t.keys, key, value) }

func (t *trace) pairs() []any {
	if len(t.steps) == 0 {
		return t.keys
	}
	return append(t.keys, "steps", strings.Join(t.steps, "; "))
}

// meters are the counters and histograms of a Router.
type meters struct {
	scope     tally.Scope
	noBudget  tally.Counter
	mu        sync.Mutex
	statuses  map[string]tally.Counter
	latencies map[string]tally.Histogram
}

// latencyBuckets reach from a quick answer to the longest usual deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func newMeters(scope tally.Scope) meters {
	return meters{
		scope:     scope,
		noBudget:  scope.Counter("resends_without_budget"),
		statuses:  make(map[string]tally.Counter),
		latencies: make(map[string]tally.Histogram),
	}
}

// ended counts a request. A status of 0 stands for an endpoint's answer.
func (m *meters) ended(kind string, status int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := "forwarded"
	if status != 0 {
		outcome = strconv.Itoa(status)
	}
	key := kind + "/" + outcome
	if m.statuses[key] == nil {
		m.statuses[key] = m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter("requests")
	}
	m.statuses[key].Inc(1)
	if m.latencies[kind] == nil {
		m.latencies[kind] = m.scope.Tagged(map[string]string{"kind": kind}).Histogram("request_seconds", latencyBuckets)
	}
	m.latencies[kind].RecordDuration(took)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropHopByHop removes headers that concern one connection only, with those that Connection names.
func dropHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
