// Package sender sends requests to endpoints. After each failure it tells whether the request may have run, judges the
// endpoint, and keeps to the budget of extra sends.
package sender

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

// Options are the parts and settings of a Sender.
type Options struct {
	DataCentre string
	Dialect    Dialect
	Endpoints  *enlister.Enlister
	Isolator   *isolator.Isolator
	// Hosts returns the number of hosts that share the budget of extra sends; 0 if it is not known yet.
	Hosts func() int
	Retry RetryBudget
	// BufferBytes bounds the answers that are read at one time; 0 stands for 64 MiB.
	BufferBytes int64
	Clock       clockwork.Clock
	Random      *rand.Rand
	Logs        hclog.Logger
	Scope       tally.Scope
}

// Sender sends the requests of one host.
type Sender struct {
	Options
	client   *dialer.Client
	buffers  buffers
	noBudget tally.Counter
	mu       sync.Mutex
	budgets  map[string]*limiter.Window
}

// New returns a Sender.
func New(o Options) *Sender {
	if o.BufferBytes <= 0 {
		o.BufferBytes = defaultBufferBytes
	}
	return &Sender{
		Options: o, buffers: buffers{most: o.BufferBytes}, client: dialer.NewAtMostOnce("endpoints", nil), budgets: make(map[string]*limiter.Window),
		noBudget: o.Scope.Counter("resends_without_budget"),
	}
}

// Job is one request, as every send of it carries it.
type Job struct {
	ID      string
	Service string
	Method  string
	// Target is the path with the query, as the caller wrote it.
	Target string
	// Host is the host that the caller named; empty stands for the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	// Expires is when its caller or its route gives up.
	Expires time.Time
	// MaxAttempts bounds the sends that may run it.
	MaxAttempts int
	// Hedge is how long a lookup waits for one endpoint before it asks another one beside it; 0 for no such send.
	Hedge time.Duration
	// Fingerprint tells requests apart that are the same work.
	Fingerprint uint64
	// Sends counts the endpoints that the request was sent to.
	Sends atomic.Int32
	Trace Trace
}

// Left returns the time that is left at now.
func (j *Job) Left(now time.Time) time.Duration { return j.Expires.Sub(now) }

// IsConvicted fingerprints a request that is whole, and tells whether it crashes endpoints and may not be sent.
func (x *Sender) IsConvicted(j *Job) bool {
	j.Fingerprint = Fingerprint(j)
	return x.Isolator.IsConvicted(j.Fingerprint)
}

// Fingerprint is the same for the same method, host, path and body.
func Fingerprint(j *Job) uint64 {
	d := xxhash.New()
	for _, part := range []string{j.Method, j.Host, j.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.Body)
	return d.Sum64()
}

// Draw returns a source for one decision.
func (x *Sender) Draw() *rand.Rand {
	x.mu.Lock()
	defer x.mu.Unlock()
	return rand.New(rand.NewPCG(x.Random.Uint64(), x.Random.Uint64()))
}
