package permitter

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// requester obtains the grants for this host's requests of one organisation. While a request for grants is under way, further requests
// wait for the next one.
type requester struct {
	waiting  []*spender
	isAsking bool
	// spent is what this host has used, by whatever grant.
	spent *throttler.Window
	share throttler.Share
	// credit was granted and not used, unreported was used without a grant of the owner.
	credit     float64
	creditAt   time.Time
	unreported float64
	lastUsed   time.Time
}

// spender is a request that waits for a grant.
type spender struct {
	amount  int
	maxWait time.Duration
	decided chan decision
	// hasLeft is set once nothing waits for the decision any more.
	hasLeft bool
}

// decision is the answer to a spender. wait is the time to retry if it is not granted.
type decision struct {
	isGranted bool
	wait      time.Duration
	decider   role
}

// batchDecision is the decision on several requests: the first of them are granted after their waits, the others refused.
type batchDecision struct {
	waits   []time.Duration
	retry   time.Duration
	decider role
}

// requester returns the requester of an organisation. The caller holds mu.
func (p *Permitter) requester(now time.Time, organisation string) *requester {
	r := p.quotas.requesters[organisation]
	if r == nil {
		r = &requester{spent: throttler.NewWindow(p.Tolerance.window())}
		p.quotas.requesters[organisation] = r
	}
	r.lastUsed = now
	return r
}

// takeCredit takes an amount of what was given back, if there is enough.
func (r *requester) takeCredit(now time.Time, amount int) bool {
	if now.Sub(r.creditAt) > creditLifetime {
		r.credit = 0
	}
	if r.credit < float64(amount) {
		return false
	}
	r.credit -= float64(amount)
	r.spent.Add(now, float64(amount))
	return true
}

// addCredit adds an amount that was granted and not used.
func (r *requester) addCredit(now time.Time, amount int) {
	if now.Sub(r.creditAt) > creditLifetime {
		r.credit = 0
	}
	r.credit, r.creditAt = r.credit+float64(amount), now
}

// Spend takes an amount of an organisation's quota, and blocks until the request may be sent, for maxWait at most. The error is a
// *QuotaError or that of ctx.
func (p *Permitter) Spend(ctx context.Context, organisation string, amount int, maxWait time.Duration) error {
	if !p.Quota(organisation).IsSet() {
		return nil
	}
	sp := &spender{amount: amount, maxWait: maxWait, decided: make(chan decision, 1)}
	if p.join(organisation, sp) {
		p.countQuota("credit")
		return nil
	}
	var d decision
	select {
	case d = <-sp.decided:
	case <-ctx.Done():
		p.leave(organisation, sp)
		return ctx.Err()
	}
	if !d.isGranted {
		p.countQuota("refused")
		return &QuotaError{Organisation: organisation, Source: string(d.decider), RetryAfter: d.wait}
	}
	p.countQuota(string(d.decider))
	if d.wait > 0 {
		select {
		case <-ctx.Done():
			p.Refund(organisation, amount)
			return ctx.Err()
		case <-p.Clock.After(d.wait):
		}
	}
	return nil
}

// join has a request wait for a grant, unless there is credit for it.
func (p *Permitter) join(organisation string, sp *spender) (isGranted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	r := p.requester(now, organisation)
	if r.takeCredit(now, sp.amount) {
		return true
	}
	r.waiting = append(r.waiting, sp)
	if !r.isAsking {
		r.isAsking = true
		go p.requestGrants(organisation, r)
	}
	return false
}

func (p *Permitter) countQuota(outcome string) {
	p.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("quota_requests").Inc(1)
}

// leave gives up a request that waits for its grant, and gives back a grant that has come already.
func (p *Permitter) leave(organisation string, sp *spender) {
	p.mu.Lock()
	sp.hasLeft = true
	p.mu.Unlock()
	select {
	case d := <-sp.decided:
		if d.isGranted {
			p.Refund(organisation, sp.amount)
		}
	default:
	}
}

// Refund returns what was taken for a request that has not run.
func (p *Permitter) Refund(organisation string, amount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	r := p.requester(now, organisation)
	r.spent.Add(now, -float64(amount))
	r.addCredit(now, amount)
}

// requestGrants obtains grants until no request waits.
func (p *Permitter) requestGrants(organisation string, r *requester) {
	for p.grantWaiting(organisation, r) {
	}
}

// grantWaiting obtains grants for the requests that wait now. It returns false if there is none.
func (p *Permitter) grantWaiting(organisation string, r *requester) bool {
	batch, used := p.nextBatch(r)
	if len(batch) == 0 {
		return false
	}
	amounts, maxWait := make([]int, 0, len(batch)), batch[0].maxWait
	for _, sp := range batch {
		amounts, maxWait = append(amounts, sp.amount), min(maxWait, sp.maxWait)
	}
	p.distribute(r, batch, p.decide(organisation, r, amounts, maxWait, used), used)
	return true
}

// nextBatch returns the requests that wait, and what is to be reported to the owner.
func (p *Permitter) nextBatch(r *requester) (batch []*spender, used float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch = slices.DeleteFunc(r.waiting, func(sp *spender) bool { return sp.hasLeft })
	r.waiting = nil
	if len(batch) == 0 {
		r.isAsking = false
		return nil, 0
	}
	if p.Clock.Now().Sub(r.creditAt) > creditLifetime {
		r.credit = 0
	}
	used = r.unreported - r.credit
	r.unreported, r.credit = 0, 0
	return batch, used
}

// distribute tells the requests of a batch their decisions.
func (p *Permitter) distribute(r *requester, batch []*spender, b batchDecision, used float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if b.decider == roleShare {
		r.unreported += used // the owner does not know of it yet
	}
	for i, sp := range batch {
		d := decision{isGranted: i < len(b.waits), decider: b.decider}
		if !d.isGranted {
			d.wait = time.Duration(float64(b.retry) * (1 + retryJitter*rand.Float64()))
			sp.decided <- d
			continue
		}
		if b.decider == roleShare {
			r.unreported += float64(sp.amount)
		}
		if sp.hasLeft {
			r.addCredit(now, sp.amount)
			continue
		}
		r.spent.Add(now, float64(sp.amount))
		d.wait = b.waits[i]
		sp.decided <- d
	}
}

// decide obtains a decision from the owner of a quota, from its substitute if the owner does not answer, or else by this host's share.
func (p *Permitter) decide(organisation string, r *requester, amounts []int, maxWait time.Duration, used float64) batchDecision {
	isUnresponsive := isNever
	for _, as := range []role{roleOwner, roleSubstitute} {
		host, isOwn := p.quotaOwner(organisation, isUnresponsive)
		if isOwn {
			if d, ok := p.grantHere(organisation, as, amounts, maxWait, used); ok {
				return d
			}
			break
		}
		if p.mayAsk(host.Name) {
			answer, err := p.askForQuota(context.Background(), host, organisation, as == roleSubstitute, amounts, maxWait, int(used))
			if err == nil && !answer.IsMoved {
				d := batchDecision{retry: milliseconds(answer.Retry), decider: as}
				for _, ms := range answer.Waits {
					d.waits = append(d.waits, milliseconds(ms))
				}
				return d
			}
		}
		isUnresponsive = p.unresponsiveHosts()
	}
	return p.decideByShare(organisation, r, amounts, maxWait)
}

// unresponsiveHosts returns which hosts have not answered lately.
func (p *Permitter) unresponsiveHosts() func(string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, until := p.Clock.Now(), maps.Clone(p.askAgainAt)
	return func(name string) bool { return now.Before(until[name]) }
}

// decideByShare decides by this host's share of what hosts without contact to the owner use together.
func (p *Permitter) decideByShare(organisation string, r *requester, amounts []int, maxWait time.Duration) batchDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := batchDecision{decider: roleShare, retry: maxQuotaRetryAfter}
	_, shared := p.Tolerance.limits(p.Quota(organisation))
	perSecond := shared / p.Tolerance.window().Seconds()
	hosts := p.MaxHosts()
	if hosts <= 0 || perSecond <= 0 {
		return d
	}
	for _, n := range amounts {
		wait, ok := r.share.Permit(p.Clock.Now(), quotaKey(organisation)+"/"+p.Host, hosts, perSecond, float64(n), maxWait)
		if !ok {
			d.retry = min(max(wait, minQuotaRetryAfter), maxQuotaRetryAfter)
			break
		}
		d.waits = append(d.waits, wait)
	}
	return d
}

// askForQuota requests grants from another host.
func (p *Permitter) askForQuota(ctx context.Context, host tracker.Member, organisation string, isSubstitute bool, amounts []int, maxWait time.Duration, used int) (wire.QuotaResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := p.callQuota(ctx, host, wire.QuotaRequest{
		Organisation: organisation, Amounts: amounts, Wait: int(maxWait.Milliseconds()), Used: used, IsSubstitute: isSubstitute,
	})
	if err != nil {
		p.markUnresponsive(host, err)
	}
	return answer, err
}

// sendQuota sends a request for grants to another host.
func (p *Permitter) sendQuota(ctx context.Context, host tracker.Member, query wire.QuotaRequest) (wire.QuotaResponse, error) {
	return messenger.Call[wire.QuotaRequest, wire.QuotaResponse](ctx, p.Messenger, host.Address, kindQuota, query)
}
