package permitter

import (
	"context"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

func encodeLimit(now time.Time, e *discoverer.Endpoint, sent int) wire.EndpointLimit {
	l := e.Limit()
	return wire.EndpointLimit{
		Endpoint: e.ID, IncarnationStart: e.IncarnationStart.UnixMilli(), IsLimited: l.IsSet, PerSecond: l.PerSecond,
		Age: int(now.Sub(l.ObservedAt).Milliseconds()), Sent: sent,
	}
}

func decodeLimit(now time.Time, m wire.EndpointLimit) throttler.Limit {
	return throttler.Limit{IsSet: m.IsLimited, PerSecond: m.PerSecond, ObservedAt: now.Add(-milliseconds(m.Age))}
}

// mergeLimits applies limits that another host knows, and returns the endpoints, nil for those that are not listed here.
func (p *Permitter) mergeLimits(limits []wire.EndpointLimit) []*discoverer.Endpoint {
	now := p.Clock.Now()
	endpoints := make([]*discoverer.Endpoint, len(limits))
	for i, m := range limits {
		endpoints[i] = p.Endpoints.MergeLimit(m.Endpoint, time.UnixMilli(m.IncarnationStart), decodeLimit(now, m))
	}
	return endpoints
}

// ReportLimit reports the changed limit of an endpoint: the owner of its service to all hosts, another host to the owner. A
// host that learns of a limit from another one reports what it has sent lately.
func (p *Permitter) ReportLimit(ep *discoverer.Endpoint, isReported bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, ep.Service)
	delete(s.refusedUntil, ep.ID)
	if isReported && !s.throttler.IsOwner() && !ep.Limit().IsSet {
		return
	}
	s.changed[ep.ID] = change{endpoint: ep, isReported: isReported}
	if len(s.changed) == 1 {
		go p.reportChanges(ep.Service)
	}
}

// reportChanges reports the limits that have changed within reportDelay.
func (p *Permitter) reportChanges(name string) {
	p.Clock.Sleep(reportDelay)
	report := wire.LimitReport{Service: name}
	p.mu.Lock()
	now := p.Clock.Now()
	s := p.service(now, name)
	isOwner := s.throttler.IsOwner()
	for id, c := range s.changed {
		delete(s.changed, id)
		ep := c.endpoint
		sent := ep.TakeUnpermitted(now)
		if isOwner {
			s.throttler.Charge(now, id, ep.IncarnationStart, ep.Limit(), sent)
			sent = 0
		}
		if isOwner || !c.isReported || sent > 0 {
			report.Limits = append(report.Limits, encodeLimit(now, ep, sent))
		}
	}
	p.mu.Unlock()
	if len(report.Limits) == 0 {
		return
	}
	if !isOwner {
		if owner, isOwn := Owner(p.Hosts, name); !isOwn {
			p.send(owner.Address, report)
		}
		return
	}
	for _, m := range p.Hosts.Serving() {
		if m.Name != p.Host {
			go p.send(m.Address, report)
		}
	}
}

// send sends a report. A host that does not get it learns of the limit by the endpoint's next answer to it.
func (p *Permitter) send(to netip.AddrPort, report wire.LimitReport) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = messenger.Notify(ctx, p.Messenger, to, kindLimits, report)
}

func (p *Permitter) handleLimits(_ context.Context, m wire.LimitReport) (wire.Empty, error) {
	endpoints := p.mergeLimits(m.Limits)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.service(now, m.Service)
	for i, l := range m.Limits {
		if e := endpoints[i]; e != nil {
			s.throttler.Charge(now, e.ID, e.IncarnationStart, e.Limit(), l.Sent)
		}
	}
	return wire.Empty{}, nil
}

// Allowance returns how many requests may be sent to an endpoint now, and its limit.
func (p *Permitter) Allowance(e *discoverer.Endpoint) (n int, l throttler.Limit) {
	l = e.Limit()
	if !l.IsSet {
		return 0, l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	return p.service(now, e.Service).throttler.Allowance(now, e.ID, e.IncarnationStart, l), l
}

// Take takes a permit for a request to an endpoint now. It returns false if there is none.
func (p *Permitter) Take(e *discoverer.Endpoint) bool {
	id, _, _ := p.permitHere(e.Service, []*discoverer.Endpoint{e}, 0)
	return id != nil
}

// GiveBack returns a permit that was not used.
func (p *Permitter) GiveBack(e *discoverer.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(p.Clock.Now(), e.Service).throttler.GiveBack(e.ID, e.IncarnationStart)
}
