// Package sender sends requests to endpoints. After each failure it reports whether the request may have run, updates the
// health of the endpoint, and limits the extra sends by a budget.
package sender

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/internal/timekeeper"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/budgeter"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

// Options are the dependencies and settings of a Sender.
type Options struct {
	DataCentre string
	Dialect    Dialect
	Endpoints  *discoverer.Discoverer
	Isolator   *isolator.Isolator
	// Hosts returns the number of hosts that share the budget of extra sends; 0 if it is not known yet.
	Hosts func() int
	Retry RetryBudget
	// Permits limits the requests to endpoints with rate limits; nil if endpoints have none.
	Permits Permits
	// BufferBytes bounds the memory of all answers that are read or not yet passed on; 0 stands for 64 MiB.
	BufferBytes int64
	Clock       clockwork.Clock
	Random      *rand.Rand
	Logs        hclog.Logger
	Scope       tally.Scope
}

// Sender sends the requests of one host. It is safe for concurrent use.
type Sender struct {
	Options
	client        *dialer.Client
	answers       *budgeter.Budget
	resendsDenied tally.Counter
	mu            sync.Mutex
	budgets       map[string]*limiter.Window
}

// New returns a Sender.
func New(o Options) *Sender {
	if o.BufferBytes <= 0 {
		o.BufferBytes = defaultBufferBytes
	}
	return &Sender{
		Options: o, answers: budgeter.New(o.BufferBytes), client: dialer.NewAtMostOnce("endpoints", nil), budgets: make(map[string]*limiter.Window),
		resendsDenied: o.Scope.Counter("resends_without_budget"),
	}
}

// Job is one request, which may be sent several times.
type Job struct {
	ID      string
	Service string
	Method  string
	// Target is the path with the query, exactly as received from the caller.
	Target string
	// Host is the Host header of the caller; empty stands for the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	// Expires is the deadline set by the caller or the route.
	Expires time.Time
	// Uptime and UptimeExpires bound the job by a clock that goes on while the machine is suspended; a nil clock does not.
	Uptime        timekeeper.Clock
	UptimeExpires time.Duration
	// Abort ends the sends of the job, also one that may run at most once; nil never does.
	Abort context.Context
	// LatestStart is the latest start of a send that is expected to meet the latency target. Waits for a permit end there.
	LatestStart time.Time
	// MaxAttempts bounds the sends that reach an endpoint.
	MaxAttempts int
	// Hedge is how long a lookup waits for one endpoint before it is also sent to another; 0 disables this.
	Hedge time.Duration
	// Fingerprint is equal for requests that are the same work.
	Fingerprint uint64
	// Organisation is the name of the caller's organisation, empty if it has none.
	Organisation string
	// MayStart reports whether the job may still be sent to an endpoint; nil allows it. Its error ends the job.
	MayStart func() error
	// Accepts reports whether an endpoint may serve the job; nil accepts all.
	Accepts func(*discoverer.Endpoint) bool
	// Parts are the IDs of the shared parts of the prompt, in their order.
	Parts []uint64
	// HasOutput is set once an event of the answer was received.
	HasOutput atomic.Bool
	// Sends counts the sends so far, without those that did not reach their endpoint.
	Sends atomic.Int32
	Trace Trace
	// MayPassOn is set if the caller of AtMostOnce or Lookup passes on replies with a Rest.
	MayPassOn bool
	// isUnread is set once an endpoint has answered and there is no room to read the answer yet.
	isUnread atomic.Bool
	// answers is the memory of the answers so far.
	answers holding
}

// Left returns the remaining time at now.
func (j *Job) Left(now time.Time) time.Duration {
	left := j.Expires.Sub(now)
	if j.Uptime != nil {
		left = min(left, j.UptimeExpires-j.Uptime.Now())
	}
	return left
}

// IsConvicted sets the fingerprint of a complete request, and reports whether the request is known to crash endpoints and
// must not be sent.
func (s *Sender) IsConvicted(j *Job) bool {
	j.Fingerprint = Fingerprint(j)
	return s.Isolator.IsConvicted(j.Work())
}

// Work returns what of a job may crash endpoints.
func (j *Job) Work() isolator.Work { return isolator.Work{Request: j.Fingerprint, Parts: j.Parts} }

// Fingerprint hashes the method, host, target and body.
func Fingerprint(j *Job) uint64 {
	d := xxhash.New()
	for _, part := range []string{j.Method, j.Host, j.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.Body)
	return d.Sum64()
}

// NewRand returns a new random source, for use by one goroutine.
func (s *Sender) NewRand() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.Random.Uint64(), s.Random.Uint64()))
}
