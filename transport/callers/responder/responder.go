package responder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/parts/state/sharder"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/superseder"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/generator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/store/enforcer"
)

const (
	// ServicesPrefix stands before the name of a plain service.
	ServicesPrefix = "/v1/services/"
	// maxBody bounds the body of a caller's request.
	maxBodyBytes = 4 << 20
	// maxRequestID bounds the bytes of a request ID and of an idempotency key.
	maxRequestIDBytes = 200
	// addressCount is the number of addresses in one answer.
	maxAddresses = 4
)

// Options are the settings and parts of a Responder.
type Options struct {
	Rules      *enforcer.Enforcer
	Hosts      *gossiper.Gossiper
	Superseder *superseder.Superseder
	Generator  *generator.Generator
	Executor   *executor.Executor
	Sender     *sender.Sender
	Clock      clockwork.Clock
	Scope      tally.Scope
	// Lifetime is how long callers keep an answer with addresses.
	Lifetime time.Duration
}

// Responder answers callers.
type Responder struct {
	options  Options
	buckets  *sharder.Map[string, limiter.Bucket]
	inFlight atomic.Int64
}

// New returns a Responder.
func New(o Options) *Responder {
	return &Responder{options: o, buckets: sharder.New[string, limiter.Bucket](xxhash.Sum64String)}
}

// Routes returns the callers' routes.
func (s *Responder) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.admit(s.complete)},
		{Method: http.MethodGet, Path: "/v1/addresses", Handler: s.admit(s.addresses)},
	}
}

// Services serves every path below ServicesPrefix.
func (s *Responder) Services() http.HandlerFunc { return s.admit(s.service) }

// InFlight returns the number of requests being answered.
func (s *Responder) InFlight() int64 { return s.inFlight.Load() }

// caller is who sends a request, under which rules.
type caller struct {
	organisation parser.Organisation
	rules        *parser.Rules
	requestID    string
	// chosen tells that the caller chose the request ID and may send it again.
	hasOwnID bool
}

// admit lets a request pass to next if there are rules, its organisation is known and within its limit.
func (s *Responder) admit(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		c := caller{requestID: r.Header.Get(RequestIDHeader)}
		c.hasOwnID = c.requestID != ""
		if !c.hasOwnID {
			c.requestID = uuid.NewString()
		}
		if len(c.requestID) > maxRequestIDBytes {
			writeFailure(w, http.StatusBadRequest, badRequest(RequestIDHeader, "longer than 200 bytes"))
			return
		}
		w.Header().Set(RequestIDHeader, c.requestID)
		current := s.options.Rules.Current()
		if current == nil {
			writeFailure(w, http.StatusServiceUnavailable, notRun("no_rules", "this host has no rule file in force yet").withRetryAfter(time.Second))
			return
		}
		c.rules = current.Rules
		organisation, ok := authenticate(current.Rules, r)
		if !ok {
			writeFailure(w, http.StatusUnauthorized, notRun("unauthorised", "the bearer token is of no organisation"))
			return
		}
		c.organisation = organisation
		if wait, ok := s.allow(organisation); !ok {
			writeFailure(w, http.StatusTooManyRequests, notRun("rate_limited", "the limit of "+organisation.Name+" is reached").withRetryAfter(wait))
			return
		}
		next(w, r, c)
	}
}

func authenticate(rules *parser.Rules, r *http.Request) (parser.Organisation, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return parser.Organisation{}, false
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := rules.ByToken[hex.EncodeToString(sum[:])]
	return rules.Organisations[name], ok
}

// take counts a request against the organisation's limit, of which each host has an equal share.
func (s *Responder) allow(o parser.Organisation) (wait time.Duration, ok bool) {
	if o.Rate == 0 {
		return 0, true
	}
	rate := limiter.Rate{PerSecond: o.Rate, Burst: float64(o.Burst)}.Share(len(s.options.Hosts.Serving()))
	s.buckets.Update(o.Name, func(b limiter.Bucket, _ bool) (limiter.Bucket, bool) {
		wait, ok = b.Take(s.options.Clock.Now(), rate)
		return b, true
	})
	return wait, ok
}

// Addresses is the answer to a caller that asks which hosts to use. Lifetime is in milliseconds.
type Addresses struct {
	Addresses []netip.AddrPort `json:"addresses"`
	Lifetime  int64            `json:"lifetime_ms"`
}

// addresses answers with hosts of different data centres in a random order.
func (s *Responder) addresses(w http.ResponseWriter, _ *http.Request, _ caller) {
	a := Addresses{Lifetime: s.options.Lifetime.Milliseconds(), Addresses: []netip.AddrPort{}}
	for _, m := range interleave(s.options.Hosts.Serving()) {
		if len(a.Addresses) < maxAddresses {
			a.Addresses = append(a.Addresses, m.Callers)
		}
	}
	httpx.OkJson(w, a)
}

// spread shuffles hosts and takes them from one data centre after the other.
func interleave(hosts []tracker.Member) []tracker.Member {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var order []string
	centres := make(map[string][]tracker.Member)
	for _, m := range hosts {
		if _, ok := centres[m.DataCentre]; !ok {
			order = append(order, m.DataCentre)
		}
		centres[m.DataCentre] = append(centres[m.DataCentre], m)
	}
	var list []tracker.Member
	for len(list) < len(hosts) {
		for _, c := range order {
			if len(centres[c]) > 0 {
				list = append(list, centres[c][0])
				centres[c] = centres[c][1:]
			}
		}
	}
	return list
}

// detach is the context of work that goes on when its caller leaves.
func detach(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), d)
}
