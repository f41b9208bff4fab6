// Package generator executes generation requests on a prefill engine and a decode engine.
package generator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/balancer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/parts/state/sharder"
	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/canceller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// maxTries limits the tries per request, as counted by flow.
	maxTries = 4
	// retryRatio is the number of retries per request that the retry budget allows.
	retryRatio = 0.1
	// retryBurst is the number of retries that the budget allows at once.
	retryBurst = 20
	// defaultRetryAfter is sent to callers if there is no better estimate.
	defaultRetryAfter = time.Second
)

// Policy selects how engines are chosen.
type Policy string

// The policies. Reservation reserves queue entries and slots; the others are baselines for comparison that reserve nothing and
// refuse nothing.
const (
	Reservation Policy = "book"
	TwoChoices  Policy = "choices"
	RoundRobin  Policy = "robin"
	Random      Policy = "random"
)

// Request is a caller's generation request. Tokens is the number of prompt tokens.
type Request struct {
	Model  parser.Model
	Body   completer.Request
	Prompt string
	Tokens int
}

// RefusedError reports a request that is not served. Executed is set if an engine has worked on it.
type RefusedError struct {
	Code       string
	Status     int
	Reason     string
	RetryAfter time.Duration
	Executed   bool
}

func (e *RefusedError) Error() string { return "generator: unable to serve the request: " + e.Reason }

// FailedError reports a request of which every attempt failed.
type FailedError struct {
	Tries  int
	Reason string
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("generator: unable to complete the request after %d tries: %s", e.Tries, e.Reason)
}

// Options are the settings and dependencies of a Generator.
type Options struct {
	Host        string
	Incarnation uint64
	Policy      Policy
	Endpoints   *watcher.Watcher
	Reserver    *reserver.Reserver
	Canceller   *canceller.Canceller
	Hosts       *gossiper.Gossiper
	Messenger   *messenger.Messenger
	Isolator    *isolator.Isolator
	Clock       clockwork.Clock
	Random      *rand.Rand
	Logs        hclog.Logger
}

// Generator executes generation requests.
type Generator struct {
	options  Options
	http     *dialer.Client
	sequence atomic.Uint64
	mu       sync.Mutex
	policies map[string]balancer.Policy[watcher.Endpoint]
	budget   limiter.Budget
	// prefixes holds the estimated number of cached tokens by engine and prefix.
	prefixes      *sharder.Map[cachedPrefix, int]
	prefixRecords atomic.Uint64
	latencies     latencies
	suspectLocks  *sharder.Map[string, chan struct{}]
}

// New returns a Generator without learned prefixes or latencies.
func New(o Options) *Generator {
	g := &Generator{
		options:      o,
		http:         dialer.NewAtMostOnce("engines", nil),
		budget:       limiter.Budget{Ratio: retryRatio, MaxSaved: retryBurst},
		prefixes:     sharder.New[cachedPrefix, int](hashPrefix),
		latencies:    latencies{handover: initialHandover, step: initialStep},
		policies:     make(map[string]balancer.Policy[watcher.Endpoint]),
		suspectLocks: sharder.New[string, chan struct{}](xxhash.Sum64String),
	}
	return g
}

// relativeLoad returns the backlog of prompt tokens of a prefill engine, or the share of slots in use of a decode engine.
func relativeLoad(e watcher.Endpoint) float64 {
	if e.Load.Role == "prefill" {
		return float64(e.Load.Backlog + e.Tokens)
	}
	used := max(e.Load.Running+e.Load.Waiting, e.InFlight)
	return float64(used) / float64(max(1, e.Load.Slots))
}

// Generate executes req and passes each token to emit in order. If it returns nil, every token was emitted. The error is
// a *RefusedError, a *FailedError or that of ctx.
func (g *Generator) Generate(ctx context.Context, req Request, emit func(string) error) error {
	fingerprint := xxhash.Sum64String(req.Prompt)
	if g.options.Isolator.IsConvicted(isolator.Work{Request: fingerprint}) {
		return convictedError(false)
	}
	f := &flow{
		generator: g, request: req, emit: emit, fingerprint: fingerprint, begin: g.options.Clock.Now(), sequence: g.sequence.Add(1),
	}
	f.id = fmt.Sprintf("%s/%d/%d", g.options.Host, g.options.Incarnation, f.sequence)
	g.countAttempt()
	for {
		err := f.runAttempt(ctx)
		if err == nil {
			g.options.Isolator.RecordCompletion(fingerprint)
			return nil
		}
		if stop := f.finalError(ctx, err); stop != nil {
			return stop
		}
	}
}

func convictedError(ran bool) *RefusedError {
	return &RefusedError{
		Code: "request_convicted", Status: http.StatusUnprocessableEntity,
		Reason: "endpoints crashed while they ran this request", Executed: ran,
	}
}

// finalError returns the error with which the request ends after a failed attempt, or nil if it may be retried.
func (f *flow) finalError(ctx context.Context, err error) error {
	g := f.generator
	var refused *RefusedError
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &refused) && f.tries > 0:
		return &FailedError{Tries: f.tries, Reason: refused.Reason}
	case errors.As(err, &refused):
		return refused
	case g.options.Isolator.IsConvicted(isolator.Work{Request: f.fingerprint}):
		return convictedError(f.tries > 0)
	case f.tries >= maxTries || !g.takeRetry():
		return &FailedError{Tries: f.tries, Reason: err.Error()}
	}
	return nil
}

func (g *Generator) countAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.CountAttempt()
}

func (g *Generator) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.AllowRetry()
}

// pick chooses one of the candidates, which must belong to the same pool, as policies keep their state per pool.
func (g *Generator) pick(p Policy, candidates []watcher.Endpoint) watcher.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := candidates[0].Pool
	policy := g.policies[pool]
	if policy == nil {
		policy = g.newPolicy(p)
		g.policies[pool] = policy
	}
	return candidates[policy.Pick(candidates)]
}

func (g *Generator) newPolicy(p Policy) balancer.Policy[watcher.Endpoint] {
	switch p {
	case Reservation, RoundRobin:
		return &balancer.RoundRobin[watcher.Endpoint]{}
	case Random:
		return &balancer.Random[watcher.Endpoint]{Source: g.options.Random}
	}
	return &balancer.TwoChoices[watcher.Endpoint]{Source: g.options.Random, Cost: relativeLoad}
}
