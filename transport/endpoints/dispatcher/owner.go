package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// pingInterval is the interval of pings to an unresponsive owner. Requests are placed elsewhere meanwhile: a request that
	// served as the probe would lose half of its time.
	pingInterval = 250 * time.Millisecond
	// redirectLifetime is how long a redirect from a former owner is followed. After that time membership updates have
	// reached all hosts.
	redirectLifetime = 2 * time.Second
)

// redirect is a former owner's notice of the present owner of a service.
type redirect struct {
	owner   tracker.Member
	expires time.Time
}

// owner returns the host that places generations of a service, and whether it is this host.
func (d *Dispatcher) owner(service string) (owner tracker.Member, isOwn bool) {
	owner, isOwn = d.Hosts.StableOwner(permitter.OwnerKey(service), d.isUnresponsive)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.redirects[service]; ok && d.Clock.Now().Before(r.expires) {
		return r.owner, false
	}
	return owner, isOwn
}

// isSubstitute reports whether owner replaces an unresponsive one.
func (d *Dispatcher) isSubstitute(service string, owner tracker.Member) bool {
	regular, _ := permitter.Owner(d.Hosts, service)
	return regular.Name != owner.Name
}

func (d *Dispatcher) isRedirected(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Now().Before(d.redirects[service].expires)
}

// applyRedirect stores the redirect of a former owner, if the named host is serving.
func (d *Dispatcher) applyRedirect(service, name string) {
	for _, m := range d.Hosts.Serving() {
		if m.Name == name {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.redirects[service] = redirect{owner: m, expires: d.Clock.Now().Add(redirectLifetime)}
			return
		}
	}
}

// isOwner reports whether this host places the generations of a service for all hosts.
func (d *Dispatcher) isOwner(service string) bool {
	_, isOwn := permitter.Owner(d.Hosts, service)
	return isOwn && d.Hosts.HasMajority()
}

func (d *Dispatcher) isUnresponsive(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unresponsive[host]
}

// markUnresponsive excludes an owner that did not answer until it answers a ping.
func (d *Dispatcher) markUnresponsive(owner tracker.Member, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive[owner.Name] || d.isClosed {
		return
	}
	d.unresponsive[owner.Name] = true
	eventlogger.Warn(d.Logs, eventlogger.OwnerUnresponsive, "host", owner.Name, "error", err.Error())
	go d.awaitOwner(owner)
}

// awaitOwner pings an unresponsive owner until it answers or is no longer serving.
func (d *Dispatcher) awaitOwner(owner tracker.Member) {
	start := d.Clock.Now()
	for d.sleep(pingInterval) {
		if !d.isServing(owner) || d.ping(owner) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unresponsive, owner.Name)
	eventlogger.Info(d.Logs, eventlogger.OwnerResponsive, "host", owner.Name, "ms", d.Clock.Now().Sub(start).Milliseconds())
}

// isServing reports whether the host is still a member at the same address.
func (d *Dispatcher) isServing(owner tracker.Member) bool {
	for _, m := range d.Hosts.Serving() {
		if m.Name == owner.Name && m.Address == owner.Address {
			return true
		}
	}
	return false
}

func (d *Dispatcher) ping(owner tracker.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	_, err := messenger.Call[wire.Empty, wire.Empty](ctx, d.Messenger, owner.Address, kindPing, wire.Empty{})
	return err == nil
}
