// Package permitter keeps the requests of all hosts to endpoints with rate limits within these limits.
//
// The owner of a service permits the requests of all hosts. A host that cannot reach it uses its own share.
package permitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindPermit = "permit"
	kindLimits = "limits"
	// callTimeout bounds a request for a permit; the latency targets of plain calls are as short.
	callTimeout = 100 * time.Millisecond
	// ownerRetryInterval is how long an owner that did not answer is not asked again.
	ownerRetryInterval = 500 * time.Millisecond
	// permitLifetime is how late a permitted request may be sent.
	permitLifetime = 250 * time.Millisecond
	// standingLifetime is how long the standing of this host is reused: with hundreds of hosts it takes longer to determine
	// than a permit.
	standingLifetime = 20 * time.Millisecond
	// reportDelay collects the changed limits of several endpoints in one report.
	reportDelay = 10 * time.Millisecond
	// reportTimeout bounds a report to one host.
	reportTimeout = 250 * time.Millisecond
	// retryJitter is the largest random extension of a time to retry, as a share of it, so that callers do not return together.
	retryJitter = 0.5
)

// OwnerKey returns the key of which the owner permits requests to a service, and places its generations.
func OwnerKey(service string) string { return "engines/" + service }

// Hosts is the membership that the owner of a service is chosen from.
type Hosts interface {
	// StableOwner returns the owner of a key among the responsive hosts, and whether it is this host.
	StableOwner(key string, isUnresponsive func(name string) bool) (tracker.Member, bool)
	Serving() []tracker.Member
	// HasMajority reports whether this host is connected to most of the others.
	HasMajority() bool
	// Unreachable returns the number of known hosts that are not serving, without those that have left.
	Unreachable() int
}

// Options are the dependencies of a Permitter.
type Options struct {
	Host      string
	Hosts     Hosts
	Messenger *messenger.Messenger
	Endpoints *discoverer.Discoverer
	// MaxHosts returns the highest number of hosts that served at the same time, 0 if it is not known.
	MaxHosts func() int
	// Quota returns the quota of an organisation; nil if organisations have none. Tolerance is what may be sent beyond quotas.
	Quota     func(organisation string) matcher.Quota
	Tolerance Tolerance
	// TakeoverTime is how long hosts may go on to take a former owner for the owner.
	TakeoverTime time.Duration
	Clock        clockwork.Clock
	Logs         hclog.Logger
	Scope        tally.Scope
}

// Permitter obtains the permits of one host and grants those of the services that it owns. It is safe for concurrent use.
type Permitter struct {
	Options
	mu       sync.Mutex
	services map[string]*service
	// askAgainAt holds, by host, when an owner that did not answer is asked again.
	askAgainAt map[string]time.Time
	quotas     quotas
	// callQuota sends a request for grants to another host, callSpending one for what it has used.
	callQuota    func(context.Context, tracker.Member, wire.QuotaRequest) (wire.QuotaResponse, error)
	callSpending func(context.Context, tracker.Member, wire.SpendingRequest) (wire.SpendingResponse, error)
	done         chan struct{}
}

// service is the state of one service.
type service struct {
	throttler     *throttler.Throttler
	standingSetAt time.Time
	// refusedUntil holds, by endpoint, the time before which the owner permits no request.
	refusedUntil map[string]time.Time
	// changed holds the endpoints with changed limits that are not reported yet.
	changed map[string]change
}

// change is a limit that has changed; isReported is set if another host has reported that.
type change struct {
	endpoint   *discoverer.Endpoint
	isReported bool
}

// New returns a Permitter and registers its message handlers. Run must be called for it to keep its state.
func New(o Options) *Permitter {
	p := &Permitter{
		Options: o, services: make(map[string]*service), askAgainAt: make(map[string]time.Time), quotas: newQuotas(o.Clock.Now()),
		done: make(chan struct{}),
	}
	p.callQuota, p.callSpending = p.sendQuota, p.sendSpending
	messenger.Handle(o.Messenger, kindQuota, p.handleQuota)
	messenger.Handle(o.Messenger, kindSpending, p.handleSpending)
	messenger.Handle(o.Messenger, kindPermit, p.handlePermit)
	messenger.Handle(o.Messenger, kindLimits, p.handleLimits)
	return p
}

// Done returns a channel that is closed once Run has returned.
func (p *Permitter) Done() <-chan struct{} { return p.done }

// Run observes changes of the owners until ctx ends.
func (p *Permitter) Run(ctx context.Context) {
	defer close(p.done)
	ticker := p.Clock.NewTicker(throttler.StandingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.refresh()
		}
	}
}

func (p *Permitter) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.refreshQuotas(now)
	for _, name := range p.Endpoints.Services() {
		p.service(now, name) // so that the owner has been in office when the first limit is stated
	}
	for name, s := range p.services {
		p.service(now, name)
		s.throttler.Expire(now)
		for id, until := range s.refusedUntil {
			if now.After(until) {
				delete(s.refusedUntil, id)
			}
		}
	}
}

// service returns the state of a service with the present standing. The caller holds mu.
func (p *Permitter) service(now time.Time, name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			throttler: throttler.New(p.Host, p.TakeoverTime), refusedUntil: make(map[string]time.Time), changed: make(map[string]change),
		}
		p.services[name] = s
	}
	if now.Sub(s.standingSetAt) >= standingLifetime {
		s.standingSetAt = now
		s.throttler.SetStanding(now, p.standing(name))
	}
	return s
}

// Owner returns the host that owns a service, and whether it is this one. The choice does not depend on which hosts have failed
// to answer.
func Owner(hosts interface {
	StableOwner(key string, isUnresponsive func(name string) bool) (tracker.Member, bool)
}, service string,
) (tracker.Member, bool) {
	return hosts.StableOwner(OwnerKey(service), func(string) bool { return false })
}

// standing returns the position of this host among those that share the limits of a service.
func (p *Permitter) standing(name string) throttler.Standing {
	_, isOwn := Owner(p.Hosts, name)
	return throttler.Standing{IsOwner: isOwn && p.Hosts.HasMajority(), Hosts: p.MaxHosts(), Unreachable: p.Hosts.Unreachable()}
}

// Acquire obtains a permit for a request to one of the candidates, the preferred one first, and blocks until the request may
// be sent, for maxWait at most. The error is a *sender.LimitError or that of ctx.
func (p *Permitter) Acquire(ctx context.Context, name string, candidates []*discoverer.Endpoint, maxWait time.Duration) (*discoverer.Endpoint, error) {
	if wait := p.knownRefusal(name, candidates); wait > maxWait {
		return nil, p.refuse(name, "refused", wait)
	}
	ep, wait, source := p.request(ctx, name, candidates, maxWait)
	if ep == nil {
		return nil, p.refuse(name, "refused", wait)
	}
	if wait > 0 {
		start := p.Clock.Now()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.Clock.After(wait):
		}
		if p.Clock.Now().Sub(start) > wait+permitLifetime {
			return nil, p.refuse(name, "expired", wait)
		}
	}
	p.count(source)
	return ep, nil
}

func (p *Permitter) count(outcome string) {
	p.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("permits").Inc(1)
}

// refuse counts a refusal and returns its error.
func (p *Permitter) refuse(name, outcome string, wait time.Duration) error {
	p.count(outcome)
	return &sender.LimitError{Service: name, RetryAfter: time.Duration(float64(wait) * (1 + retryJitter*rand.Float64()))}
}

// knownRefusal returns the time until one of the candidates may be permitted according to earlier answers of the owner.
func (p *Permitter) knownRefusal(name string, candidates []*discoverer.Endpoint) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, name)
	least := time.Duration(-1)
	for _, e := range candidates {
		if wait := max(0, s.refusedUntil[e.ID].Sub(now)); least < 0 || wait < least {
			least = wait
		}
	}
	return max(0, least)
}

// request obtains a permit from the owner of the service, or from this host's share if the owner does not answer. Without a
// permit it returns the time until the next one. The source is that of the permit.
func (p *Permitter) request(ctx context.Context, name string, candidates []*discoverer.Endpoint, maxWait time.Duration) (ep *discoverer.Endpoint, wait time.Duration, source string) {
	owner, isOwn := Owner(p.Hosts, name)
	if !isOwn && p.mayAsk(owner.Name) {
		answer, err := p.askOwner(ctx, owner, name, candidates, maxWait)
		switch {
		case err != nil:
			p.markUnresponsive(owner, err)
		case !answer.IsMoved:
			return p.applyAnswer(name, candidates, answer)
		}
	}
	return p.permitHere(name, candidates, maxWait)
}

func (p *Permitter) mayAsk(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.Clock.Now().Before(p.askAgainAt[host])
}

// markUnresponsive excludes an owner that did not answer for a while.
func (p *Permitter) markUnresponsive(owner tracker.Member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if now.Before(p.askAgainAt[owner.Name]) {
		return
	}
	p.askAgainAt[owner.Name] = now.Add(ownerRetryInterval)
	eventlogger.Warn(p.Logs, eventlogger.PermitsUnavailable, "host", owner.Name, "error", err.Error())
}

func (p *Permitter) askOwner(ctx context.Context, owner tracker.Member, name string, candidates []*discoverer.Endpoint, maxWait time.Duration) (wire.PermitResponse, error) {
	// The owner counts a permit for a caller that has left, so the call goes on to its own time limit.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	now := p.Clock.Now()
	query := wire.PermitRequest{Service: name, Wait: int(maxWait.Milliseconds())}
	for _, e := range candidates {
		query.Limits = append(query.Limits, encodeLimit(now, e, e.TakeUnpermitted(now)))
	}
	return messenger.Call[wire.PermitRequest, wire.PermitResponse](ctx, p.Messenger, owner.Address, kindPermit, query)
}

// applyAnswer applies the owner's answer to a request for a permit.
func (p *Permitter) applyAnswer(name string, candidates []*discoverer.Endpoint, answer wire.PermitResponse) (*discoverer.Endpoint, time.Duration, string) {
	p.mergeLimits(answer.Limits)
	wait := milliseconds(answer.Wait)
	for _, e := range candidates {
		if e.ID == answer.Endpoint {
			return e, wait, "owner"
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, name)
	for _, e := range candidates {
		s.refusedUntil[e.ID] = now.Add(wait)
	}
	return nil, wait, ""
}

// permitHere permits a request as the owner of the service, or from this host's share.
func (p *Permitter) permitHere(name string, candidates []*discoverer.Endpoint, maxWait time.Duration) (*discoverer.Endpoint, time.Duration, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, name)
	var applicants []applicant
	for _, e := range candidates {
		applicants = append(applicants, applicant{id: e.ID, incarnationStart: e.IncarnationStart, limit: e.Limit()})
		if s.throttler.IsOwner() {
			s.throttler.Charge(now, e.ID, e.IncarnationStart, e.Limit(), e.TakeUnpermitted(now))
		}
	}
	id, wait := s.permit(now, applicants, maxWait)
	for _, e := range candidates {
		if e.ID != id {
			continue
		}
		if s.throttler.IsOwner() {
			return e, wait, "owner"
		}
		e.CountUnpermitted(now)
		return e, wait, "share"
	}
	return nil, wait, ""
}

// applicant is an endpoint for which a permit is requested.
type applicant struct {
	id               string
	incarnationStart time.Time
	limit            throttler.Limit
}

// permit permits a request to the first endpoint that accepts one now, else to the one that accepts one first, within
// maxWait. Without a permit, id is empty and wait the time until the next one.
func (s *service) permit(now time.Time, list []applicant, maxWait time.Duration) (id string, wait time.Duration) {
	soonest := time.Duration(-1)
	var best applicant
	for _, a := range list {
		if !a.limit.IsSet {
			return a.id, 0
		}
		w, ok := s.throttler.Permit(now, a.id, a.incarnationStart, a.limit, 0)
		if ok {
			return a.id, 0
		}
		if soonest < 0 || w < soonest {
			soonest, best = w, a
		}
	}
	if soonest > maxWait || soonest < 0 {
		return "", max(0, soonest)
	}
	wait, ok := s.throttler.Permit(now, best.id, best.incarnationStart, best.limit, maxWait)
	if !ok {
		return "", wait
	}
	return best.id, wait
}

// handlePermit permits a request of another host, as the owner of the service.
func (p *Permitter) handlePermit(_ context.Context, m wire.PermitRequest) (wire.PermitResponse, error) {
	known := p.mergeLimits(m.Limits)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, m.Service)
	if !s.throttler.IsOwner() {
		return wire.PermitResponse{IsMoved: true}, nil
	}
	var answer wire.PermitResponse
	var applicants []applicant
	for i, l := range m.Limits {
		a := applicant{id: l.Endpoint, incarnationStart: time.UnixMilli(l.IncarnationStart), limit: decodeLimit(now, l)}
		if e := known[i]; e != nil {
			a.limit = e.Limit()
			answer.Limits = append(answer.Limits, encodeLimit(now, e, 0))
		}
		s.throttler.Charge(now, a.id, a.incarnationStart, a.limit, l.Sent)
		applicants = append(applicants, a)
	}
	id, wait := s.permit(now, applicants, milliseconds(m.Wait))
	answer.Endpoint, answer.Wait = id, int(wait.Milliseconds())
	return answer, nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
