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

// reportPeriod is how often collected metrics are handed to the reporter.
const reportPeriod = time.Second

// Meter is the root of a process's metrics.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a Meter whose metrics start with prefix.
func New(prefix string) *Meter {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportPeriod)
	return &Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what is left.
func (m *Meter) Close() { _ = m.closer.Close() }
