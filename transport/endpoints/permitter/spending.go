package permitter

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindSpending = "spending"
	// spendingTimeout bounds the requests of a new owner to the other hosts. It is shorter than callTimeout, as requests for grants wait.
	spendingTimeout = 60 * time.Millisecond
	// spendingInterval is how long a substitute, or an owner without the answers of most hosts, uses what it knows of them.
	spendingInterval = time.Second
	// maxMissingShare is the share of the serving hosts that may fail to answer a new owner or substitute. One of them is the host that it
	// replaces.
	maxMissingShare = 0.1
	// maxRefreshGap is the time between two refreshes beyond which the host takes itself to have been suspended.
	maxRefreshGap = 3 * throttler.StandingInterval
)

// hashOf returns a hash of hosts, whatever their order. A host that restarts, or that loses the log, may lose its ownership without
// leaving the serving hosts.
func hashOf(hosts []tracker.Member) uint64 {
	var sum uint64
	for _, m := range hosts {
		hash := xxhash.Sum64String(m.Name) ^ m.Incarnation
		if m.LogUnreachable {
			hash = ^hash
		}
		sum += hash
	}
	return sum
}

// readyGrants returns the grants of a quota, with what hosts have used of it before this one became its owner or substitute.
func (p *Permitter) readyGrants(organisation string, as role) *grants {
	p.mu.Lock()
	now := p.Clock.Now()
	if p.wasSuspended(now) {
		clear(p.quotas.grants)
	}
	g := p.quotas.grants[organisation]
	if g != nil && !g.isOutdated(now, as) {
		p.mu.Unlock()
		<-g.isReady
		return g
	}
	p.observeHosts(now) // this host may have become the owner since the last refresh
	g = &grants{role: as, window: throttler.NewWindow(p.Tolerance.window()), isReady: make(chan struct{}), lastUsed: now}
	p.quotas.grants[organisation] = g
	g.isComplete = as == roleOwner && now.Sub(p.quotas.since) > p.Tolerance.window() // nothing was used before
	p.mu.Unlock()
	if !g.isComplete {
		p.loadSpending(organisation, g)
	}
	p.mu.Lock()
	g.readyAt = p.Clock.Now()
	p.mu.Unlock()
	close(g.isReady)
	return g
}

// isOutdated reports whether what hosts have used must be requested again. The caller holds the permitter's mu.
func (g *grants) isOutdated(now time.Time, as role) bool {
	return (as == roleSubstitute || !g.isComplete) && !g.readyAt.IsZero() && now.Sub(g.readyAt) > spendingInterval
}

// loadSpending adds to g what all hosts have used lately. For hosts that do not answer, it assumes their part of the quota.
func (p *Permitter) loadSpending(organisation string, g *grants) {
	ctx, cancel := context.WithTimeout(context.Background(), spendingTimeout)
	defer cancel()
	query := wire.SpendingRequest{Organisation: organisation}
	serving := p.Hosts.Serving()
	if i := slices.IndexFunc(serving, func(m tracker.Member) bool { return m.Name == p.Host }); g.role == roleOwner && i >= 0 {
		query.Owner, query.Address = p.Host, serving[i].Address.String()
	}
	asked := 0
	answers := make(chan []int)
	for _, m := range serving {
		if m.Name == p.Host {
			continue
		}
		asked++
		go func() {
			answer, err := p.callSpending(ctx, m, query)
			steps := answer.Steps
			if err != nil {
				steps = nil
			} else if steps == nil {
				steps = []int{}
			}
			select {
			case answers <- steps:
			case <-ctx.Done():
			}
		}()
	}
	all := [][]float64{p.spending(organisation)}
	for range asked {
		var steps []int
		select {
		case steps = <-answers:
		case <-ctx.Done():
		}
		if steps == nil {
			continue
		}
		list := make([]float64, 0, len(steps))
		for _, n := range steps {
			list = append(list, float64(n))
		}
		all = append(all, list)
	}
	limit, _ := p.Tolerance.limits(p.Quota(organisation))
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := asked + 1 - len(all)
	if g.isComplete = float64(missing) <= max(1, maxMissingShare*float64(asked)); !g.isComplete {
		return
	}
	now := p.Clock.Now()
	for _, steps := range all {
		g.window.AddSteps(now, steps)
	}
	if n := p.MaxHosts(); n > 0 {
		g.window.AddEvenly(now, limit*float64(min(n, missing+p.Hosts.Unreachable()))/float64(n))
	}
}

// spending returns what this host has used lately of a quota.
func (p *Permitter) spending(organisation string) []float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.quotas.requesters[organisation]
	if r == nil {
		return nil
	}
	return r.spent.Steps(p.Clock.Now())
}

func (p *Permitter) handleSpending(_ context.Context, m wire.SpendingRequest) (wire.SpendingResponse, error) {
	if m.Owner != "" {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return wire.SpendingResponse{}, errorx.Decorate(err, "permitter: unable to follow the owner %s of a quota", m.Owner)
		}
		p.followOwner(m.Organisation, tracker.Member{Name: m.Owner, Address: address})
	}
	answer := wire.SpendingResponse{Steps: []int{}}
	last := 0
	for i, n := range p.spending(m.Organisation) {
		answer.Steps = append(answer.Steps, int(n))
		if n > 0 {
			last = i + 1
		}
	}
	answer.Steps = answer.Steps[:min(last, len(answer.Steps))]
	return answer, nil
}

// followOwner takes the sender for the owner of a quota from now on. A former owner, whose membership may be out of date, stops to grant.
func (p *Permitter) followOwner(organisation string, owner tracker.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quotas.announced[organisation] = announcement{owner: owner, expires: p.Clock.Now().Add(p.TakeoverTime)}
	delete(p.quotas.grants, organisation)
}

// sendSpending requests what another host has used lately of a quota.
func (p *Permitter) sendSpending(ctx context.Context, host tracker.Member, query wire.SpendingRequest) (wire.SpendingResponse, error) {
	return messenger.Call[wire.SpendingRequest, wire.SpendingResponse](ctx, p.Messenger, host.Address, kindSpending, query)
}
