// Package meter collects metrics with tally and serves them for Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which collected metrics are passed to the Prometheus reporter.
const reportInterval = time.Second

// Meter holds the root scope of a process's metrics and the handler that exposes them.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a Meter whose metric names start with prefix. It also exposes the Go runtime and process metrics.
func New(prefix string) *Meter {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the metrics collected since the last report.
func (m *Meter) Close() { _ = m.closer.Close() }
