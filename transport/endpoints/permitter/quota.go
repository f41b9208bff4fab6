package permitter

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

const (
	kindQuota = "quota"
	// defaultQuotaWindow is the window of quotas if the settings name none.
	defaultQuotaWindow = 8 * time.Second
	// ownerPart and sharePart are the parts of the tolerance that the owner grants and that hosts without contact to it use together. The
	// rest allows for requests that reach their endpoints in another window than their grants.
	ownerPart = 0.2
	sharePart = 0.2
	// creditLifetime is how long a host keeps what was given back to it.
	creditLifetime = 2 * time.Second
	// minQuotaRetryAfter and maxQuotaRetryAfter bound the time to retry after a refusal, before jitter.
	minQuotaRetryAfter = 50 * time.Millisecond
	maxQuotaRetryAfter = 4 * time.Second
	// requesterRetention is how long the state of an organisation without requests is kept.
	requesterRetention = 5 * time.Minute
)

// QuotaError reports a request beyond the quota of its organisation.
type QuotaError struct {
	Organisation string
	// Source tells who refused it: the owner of the quota, its substitute, or this host by its share.
	Source string
	// RetryAfter is the time until a request is likely to be within the quota.
	RetryAfter time.Duration
}

func (e *QuotaError) Error() string {
	return fmt.Sprintf("permitter: unable to send a request of the organisation %s: its quota is used up (decided by %s)", e.Organisation, e.Source)
}

// Tolerance is what all hosts together may send in a window beyond a quota: a share of it, and an amount.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Amount float64
}

// window returns the span of time that quotas are stated for.
func (t Tolerance) window() time.Duration {
	if t.Window <= 0 {
		return defaultQuotaWindow
	}
	return t.Window
}

// limits returns what the owner of a quota grants in a window, and what hosts without contact to it use together in one.
func (t Tolerance) limits(q matcher.Quota) (perWindow, shared float64) {
	seconds := t.window().Seconds()
	quota := q.PerSecond*seconds + q.Burst
	tolerance := t.Share*quota + t.Amount
	return quota + ownerPart*tolerance, min(q.PerSecond*seconds, sharePart*tolerance)
}

// quotaKey returns the key of which the owner grants the quota of an organisation.
func quotaKey(organisation string) string { return "quota/" + organisation }

// role is how a host decides on a quota.
type role string

const (
	roleOwner      role = "owner"
	roleSubstitute role = "substitute"
	roleShare      role = "share"
)

// quotas is the state of all quotas at one host.
type quotas struct {
	// since is the time of the last change of the serving hosts, hosts a hash of them. Another host may have granted quotas before.
	since      time.Time
	hosts      uint64
	refreshed  time.Time
	grants     map[string]*grants
	requesters map[string]*requester
	// announced holds, by organisation, the host that has announced itself as the new owner of the quota.
	announced map[string]announcement
}

// announcement is followed until the membership of this host is up to date, too. Until then it may take the owner for dead.
type announcement struct {
	owner   tracker.Member
	expires time.Time
}

func newQuotas(now time.Time) quotas {
	return quotas{
		since: now, refreshed: now, grants: make(map[string]*grants), requesters: make(map[string]*requester), announced: make(map[string]announcement),
	}
}

// grants is what a host grants of one quota, as its owner or the owner's substitute.
type grants struct {
	role   role
	window *throttler.Window
	// isComplete is set if window has what nearly all hosts have used. Otherwise this host may be cut off from others that the regular owner
	// still grants to, and grants only a part of the tolerance.
	isComplete bool
	// isReady is closed once window has what other hosts have used before.
	isReady chan struct{}
	readyAt time.Time
	// retryAt is when the requests refused so far are likely to be granted.
	retryAt  time.Time
	lastUsed time.Time
}

// refreshQuotas observes changes of the hosts and drops the state that is not continued. The caller holds mu.
func (p *Permitter) refreshQuotas(now time.Time) {
	q := &p.quotas
	if p.wasSuspended(now) {
		clear(q.grants) // another host has granted meanwhile
	}
	p.observeHosts(now)
	q.refreshed = now
	maps.DeleteFunc(q.announced, func(_ string, a announcement) bool { return now.After(a.expires) })
	for organisation, g := range q.grants {
		_, isOwn := p.regularOwner(organisation, isNever)
		switch {
		case isOwn && p.Hosts.HasMajority():
			g.role = roleOwner
		case g.role == roleOwner, now.Sub(g.lastUsed) > ownerRetryInterval:
			delete(q.grants, organisation)
		}
	}
	for organisation, r := range q.requesters {
		if !r.isAsking && now.Sub(r.lastUsed) > requesterRetention {
			delete(q.requesters, organisation)
		}
	}
}

// observeHosts records the time of a change of the serving hosts. The caller holds mu.
func (p *Permitter) observeHosts(now time.Time) {
	q := &p.quotas
	if hosts := hashOf(p.Hosts.Serving()); hosts != q.hosts || p.wasSuspended(now) || !p.Hosts.HasMajority() {
		q.hosts, q.since = hosts, now
	}
}

// wasSuspended reports whether refreshQuotas is so late that this host must have been suspended. The caller holds mu.
func (p *Permitter) wasSuspended(now time.Time) bool {
	return now.Sub(p.quotas.refreshed) > maxRefreshGap
}

// quotaOwner returns the owner of a quota among the responsive hosts, and whether it is this host.
func (p *Permitter) quotaOwner(organisation string, isUnresponsive func(string) bool) (tracker.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regularOwner(organisation, isUnresponsive)
}

// regularOwner is quotaOwner for callers that hold mu.
func (p *Permitter) regularOwner(organisation string, isUnresponsive func(string) bool) (tracker.Member, bool) {
	if a, ok := p.quotas.announced[organisation]; ok && !p.Clock.Now().After(a.expires) && !isUnresponsive(a.owner.Name) {
		return a.owner, a.owner.Name == p.Host
	}
	return p.Hosts.StableOwner(quotaKey(organisation), isUnresponsive)
}

func isNever(string) bool { return false }

// grantHere decides on requests of an organisation as the owner of its quota or as the substitute. ok is false if this host is neither.
func (p *Permitter) grantHere(organisation string, as role, amounts []int, maxWait time.Duration, used float64) (d batchDecision, ok bool) {
	if _, isOwn := p.quotaOwner(organisation, isNever); !p.Hosts.HasMajority() || as == roleOwner && !isOwn {
		return d, false
	}
	quota := p.Quota(organisation)
	if !quota.IsSet() {
		return batchDecision{waits: make([]time.Duration, len(amounts)), decider: as}, true
	}
	g := p.readyGrants(organisation, as)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	g.lastUsed = now
	limit, shared := p.Tolerance.limits(quota)
	if !g.isComplete {
		limit = shared
	}
	g.window.Add(now, used)
	d.decider = as
	for i, n := range amounts {
		wait, isGranted := g.window.Permit(now, limit, float64(n), maxWait)
		if !isGranted {
			d.retry = g.retry(now, wait, amounts[i:], limit/p.Tolerance.window().Seconds())
			break
		}
		d.waits = append(d.waits, wait)
	}
	return d, true
}

// retry returns when the first of some refused requests is likely to be granted, after all that were refused before.
func (g *grants) retry(now time.Time, wait time.Duration, refused []int, perSecond float64) time.Duration {
	total := 0
	for _, n := range refused {
		total += n
	}
	if earliest := now.Add(wait); g.retryAt.Before(earliest) {
		g.retryAt = earliest
	}
	retry := g.retryAt.Sub(now)
	g.retryAt = now.Add(min(maxQuotaRetryAfter, retry+time.Duration(float64(total)/perSecond*float64(time.Second))))
	return min(max(retry, minQuotaRetryAfter), maxQuotaRetryAfter)
}

func (p *Permitter) handleQuota(ctx context.Context, m wire.QuotaRequest) (wire.QuotaResponse, error) {
	maxWait := milliseconds(m.Wait)
	as := roleOwner
	if m.IsSubstitute {
		as = roleSubstitute
		if owner, isOwn := p.quotaOwner(m.Organisation, isNever); isOwn {
			as = roleOwner
		} else if p.mayAsk(owner.Name) {
			// Only the sender does not reach the owner.
			if answer, err := p.askForQuota(ctx, owner, m.Organisation, false, m.Amounts, maxWait, m.Used); err == nil && !answer.IsMoved {
				return answer, nil
			}
		}
	}
	d, ok := p.grantHere(m.Organisation, as, m.Amounts, maxWait, float64(m.Used))
	answer := wire.QuotaResponse{IsMoved: !ok, Retry: int(d.retry.Milliseconds()), Waits: make([]int, 0, len(d.waits))}
	for _, w := range d.waits {
		answer.Waits = append(answer.Waits, int(w.Milliseconds()))
	}
	return answer, nil
}
