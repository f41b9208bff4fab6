package router

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and histograms of a Router, created on first use.
type metrics struct {
	scope     tally.Scope
	mu        sync.Mutex
	statuses  map[string]tally.Counter
	latencies map[string]tally.Histogram
}

// latencyBuckets cover fast answers up to the longest usual deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:     scope,
		statuses:  make(map[string]tally.Counter),
		latencies: make(map[string]tally.Histogram),
	}
}

// record counts a finished request. A status of 0 means that an endpoint's answer was forwarded.
func (m *metrics) record(kind string, status int, took time.Duration) {
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
