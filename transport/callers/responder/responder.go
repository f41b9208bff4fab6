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
	"github.com/hornbeamspan/hornbeamspan/transport/store/rulepublisher"
)

const (
	// ServicesPrefix precedes the name of a service in the path.
	ServicesPrefix = "/v1/services/"
	// maxBodyBytes bounds the body of a caller's request.
	maxBodyBytes = 4 << 20
	// maxRequestIDBytes bounds a request ID or an idempotency key.
	maxRequestIDBytes = 200
	// maxAddresses bounds the addresses in one answer.
	maxAddresses = 4
)

// Options are the settings and dependencies of a Responder.
type Options struct {
	Rules      *rulepublisher.Publisher
	Hosts      *gossiper.Gossiper
	Superseder *superseder.Superseder
	Generator  *generator.Generator
	Executor   *executor.Executor
	Sender     *sender.Sender
	Clock      clockwork.Clock
	Scope      tally.Scope
	// Lifetime is how long callers may cache an answer with addresses.
	Lifetime time.Duration
}

// Responder authenticates callers, applies their rate limits and serves their requests.
type Responder struct {
	options  Options
	buckets  *sharder.Map[string, limiter.Bucket]
	inFlight atomic.Int64
}

// New returns a Responder without any requests counted against rate limits.
func New(o Options) *Responder {
	return &Responder{options: o, buckets: sharder.New[string, limiter.Bucket](xxhash.Sum64String)}
}

// Routes returns the routes with a fixed path; Services serves the others.
func (rs *Responder) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: rs.admit(rs.complete)},
		{Method: http.MethodGet, Path: "/v1/addresses", Handler: rs.admit(rs.addresses)},
	}
}

// Services serves every path below ServicesPrefix.
func (rs *Responder) Services() http.HandlerFunc { return rs.admit(rs.service) }

// InFlight returns the number of requests being answered.
func (rs *Responder) InFlight() int64 { return rs.inFlight.Load() }

// caller is the sender of a request and the rules that apply to it.
type caller struct {
	organisation parser.Organisation
	rules        *parser.Rules
	requestID    string
	// hasOwnID means that the caller set the request ID and may send it again.
	hasOwnID bool
}

// admit calls next if rules are loaded and the organisation is known and within its rate limit.
func (rs *Responder) admit(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rs.inFlight.Add(1)
		defer rs.inFlight.Add(-1)
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
		current := rs.options.Rules.Current()
		if current == nil {
			writeFailure(w, http.StatusServiceUnavailable, notRun("no_rules", "this host has no rules yet").withRetryAfter(time.Second))
			return
		}
		c.rules = current.Rules
		organisation, ok := authenticate(current.Rules, r)
		if !ok {
			writeFailure(w, http.StatusUnauthorized, notRun("unauthorised", "the bearer token does not belong to any organisation"))
			return
		}
		c.organisation = organisation
		if wait, ok := rs.allow(organisation); !ok {
			writeFailure(w, http.StatusTooManyRequests, notRun("rate_limited", "rate limit of "+organisation.Name+" exceeded").withRetryAfter(wait))
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

// allow counts a request against the organisation's rate limit. Each host enforces an equal share of it.
func (rs *Responder) allow(o parser.Organisation) (wait time.Duration, ok bool) {
	if o.Rate == 0 {
		return 0, true
	}
	rate := limiter.Rate{PerSecond: o.Rate, Burst: float64(o.Burst)}.Share(rs.options.Hosts.MaxServing())
	rs.buckets.Update(o.Name, func(b limiter.Bucket, _ bool) (limiter.Bucket, bool) {
		wait, ok = b.Take(rs.options.Clock.Now(), rate)
		return b, true
	})
	return wait, ok
}

// Addresses lists hosts for callers to use. Lifetime is in milliseconds.
type Addresses struct {
	Addresses []netip.AddrPort `json:"addresses"`
	Lifetime  int64            `json:"lifetime_ms"`
}

// addresses answers with hosts in a random order, alternating between data centres.
func (rs *Responder) addresses(w http.ResponseWriter, _ *http.Request, _ caller) {
	a := Addresses{Lifetime: rs.options.Lifetime.Milliseconds(), Addresses: []netip.AddrPort{}}
	for _, m := range interleave(rs.options.Hosts.Serving()) {
		if len(a.Addresses) < maxAddresses {
			a.Addresses = append(a.Addresses, m.Callers)
		}
	}
	httpx.OkJson(w, a)
}

// interleave shuffles hosts and takes them from the data centres in turn.
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

// detach returns a context for work that continues when its caller disconnects.
func detach(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), d)
}
