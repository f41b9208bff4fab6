// Package generator takes generated requests through a prefill engine and a decode engine.
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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/releaser"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// maxTries bounds the attempts at engines for one request.
	maxTries = 4
	// retryRatio is the number of further attempts per request that the budget allows.
	retryRatio = 0.1
	// retryReserve is the number of further attempts that may come at once.
	retryReserve = 20
	// comeBack is when a caller may try again if nothing better is known.
	comeBack = time.Second
)

// Policy is the way an engine is chosen.
type Policy string

// The policies. Book is the system's own; the others are baselines that book nothing and refuse nothing.
const (
	Book    Policy = "book"
	Choices Policy = "choices"
	Robin   Policy = "robin"
	Random  Policy = "random"
)

// Request is a generated request of a caller.
type Request struct {
	Model  parser.Model
	Body   completer.Request
	Prompt string
	Tokens int
}

// RefusedError reports a request that is not served. Ran tells whether an engine has worked on it.
type RefusedError struct {
	Code       string
	Status     int
	Reason     string
	RetryAfter time.Duration
	Ran        bool
}

func (e *RefusedError) Error() string { return "generator: unable to serve: " + e.Reason }

// FailedError reports a request whose attempts at engines all failed.
type FailedError struct {
	Tries  int
	Reason string
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("generator: unable to finish after %d tries: %s", e.Tries, e.Reason)
}

// Options are the settings and parts of a Generator.
type Options struct {
	Node        string
	Incarnation uint64
	Policy      Policy
	Endpoints   *watcher.Watcher
	Reserver    *reserver.Reserver
	Releaser    *releaser.Releaser
	Hosts       *gossiper.Gossiper
	Messenger   *messenger.Messenger
	Isolator    *isolator.Isolator
	Clock       clockwork.Clock
	Random      *rand.Rand
	Logs        hclog.Logger
}

// Generator serves generated requests.
type Generator struct {
	options  Options
	http     *dialer.Client
	sequence atomic.Uint64
	mu       sync.Mutex
	policies map[string]balancer.Policy[watcher.Endpoint]
	budget   limiter.Budget
	// prefixes are the tokens that engines are believed to have cached.
	prefixes *sharder.Map[cachedPrefix, int]
	learned  atomic.Uint64
	times    times
	suspects *sharder.Map[string, chan struct{}]
}

// New returns a Generator and takes the kinds of messages it answers.
func New(o Options) *Generator {
	g := &Generator{
		options:  o,
		http:     dialer.New("engines", nil),
		budget:   limiter.Budget{Ratio: retryRatio, MaxSaved: retryReserve},
		prefixes: sharder.New[cachedPrefix, int](hashPrefix),
		times:    times{handover: firstHandover, step: firstStep},
		policies: make(map[string]balancer.Policy[watcher.Endpoint]),
		suspects: sharder.New[string, chan struct{}](xxhash.Sum64String),
	}
	return g
}

// cost is the share of an engine's slots in use by its last report, or its backlog if it reads prompts.
func cost(e watcher.Endpoint) float64 {
	if e.Load.Role == "prefill" {
		return float64(e.Load.Backlog + e.Tokens)
	}
	used := max(e.Load.Running+e.Load.Waiting, e.InFlight)
	return float64(used) / float64(max(1, e.Load.Slots))
}

// Generate serves req and hands each token to emit in order. If it returns nil, every token was emitted. The error is
// a *RefusedError, a *FailedError or the end of ctx.
func (g *Generator) Generate(ctx context.Context, req Request, emit func(string) error) error {
	fingerprint := xxhash.Sum64String(req.Prompt)
	if g.options.Isolator.IsConvicted(fingerprint) {
		return convicted(false)
	}
	f := &flow{
		generator: g, request: req, emit: emit, fingerprint: fingerprint, begin: g.options.Clock.Now(), sequence: g.sequence.Add(1),
	}
	f.id = fmt.Sprintf("%s/%d/%d", g.options.Node, g.options.Incarnation, f.sequence)
	g.countAttempt()
	for {
		err := f.try(ctx)
		if err == nil {
			g.options.Isolator.Finished(fingerprint)
			return nil
		}
		if stop := f.stop(ctx, err); stop != nil {
			return stop
		}
	}
}

func convicted(ran bool) *RefusedError {
	return &RefusedError{
		Code: "request_convicted", Status: http.StatusUnprocessableEntity,
		Reason: "engines crashed while they ran this request", Ran: ran,
	}
}

// stop returns the final error after a failed attempt, or nil if another attempt may follow.
func (f *flow) stop(ctx context.Context, err error) error {
	g := f.generator
	var refused *RefusedError
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &refused) && f.tries > 0:
		return &FailedError{Tries: f.tries, Reason: refused.Reason}
	case errors.As(err, &refused):
		return refused
	case g.options.Isolator.IsConvicted(f.fingerprint):
		return convicted(f.tries > 0)
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

// pick chooses one of the candidates, which are all of one pool. Each pool has a state of its own.
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
	case Book, Robin:
		return &balancer.RoundRobin[watcher.Endpoint]{}
	case Random:
		return &balancer.Random[watcher.Endpoint]{Source: g.options.Random}
	}
	return &balancer.TwoChoices[watcher.Endpoint]{Source: g.options.Random, Cost: cost}
}
