package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// pingPeriod is the time between two pings of a home that did not answer. Requests go elsewhere meanwhile: one that is
	// used to find out whether the home is back loses half of its time.
	pingPeriod = 250 * time.Millisecond
	// redirection is how long a host follows the word of an earlier home on where the home is. Until then membership
	// has told all hosts.
	redirectLifetime = 2 * time.Second
)

// redirect is an earlier home's word on where the home of a service is.
type redirect struct {
	owner tracker.Member
	until time.Time
}

// home returns the host to ask for places, and whether it is the own one.
func (d *Dispatcher) owner(service string) (home tracker.Member, own bool) {
	home, own = d.Hosts.SteadyHome(ownerKey(service), d.isUnresponsive)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.redirects[service]; ok && d.Clock.Now().Before(r.until) {
		return r.owner, false
	}
	return home, own
}

// isNeverSilent stands for hosts of which nothing is known.
func isNeverUnresponsive(string) bool { return false }

// isStandIn tells whether home stands in for one that is silent.
func (d *Dispatcher) isSubstitute(service string, home tracker.Member) bool {
	first, _ := d.Hosts.SteadyHome(ownerKey(service), isNeverUnresponsive)
	return first.Name != home.Name
}

func (d *Dispatcher) isRedirected(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Now().Before(d.redirects[service].until)
}

// follow takes an earlier home's word on where the home is.
func (d *Dispatcher) applyRedirect(service, name string) {
	for _, m := range d.Hosts.Serving() {
		if m.Name == name {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.redirects[service] = redirect{owner: m, until: d.Clock.Now().Add(redirectLifetime)}
			return
		}
	}
}

func ownerKey(service string) string { return "engines/" + service }

// isHome tells whether this host places the generations of a service for all.
func (d *Dispatcher) isOwner(service string) bool {
	_, own := d.Hosts.SteadyHome(ownerKey(service), isNeverUnresponsive)
	return own && d.Hosts.HasMajority()
}

func (d *Dispatcher) isUnresponsive(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unresponsive[host]
}

// setSilent has a home that did not answer passed over until it answers a ping.
func (d *Dispatcher) markUnresponsive(home tracker.Member, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive[home.Name] || d.isClosed {
		return
	}
	d.unresponsive[home.Name] = true
	eventer.Warn(d.Logs, eventer.HomeSilent, "host", home.Name, "error", err.Error())
	go d.awaitOwner(home)
}

// awaitHome pings a silent home until it answers or is gone.
func (d *Dispatcher) awaitOwner(home tracker.Member) {
	begun := d.Clock.Now()
	for d.sleep(pingPeriod) {
		if !d.isServing(home) || d.ping(home) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unresponsive, home.Name)
	eventer.Info(d.Logs, eventer.HomeHeard, "host", home.Name, "ms", d.Clock.Now().Sub(begun).Milliseconds())
}

// isServing tells whether a host is still the one that was silent.
func (d *Dispatcher) isServing(home tracker.Member) bool {
	for _, m := range d.Hosts.Serving() {
		if m.Name == home.Name && m.Address == home.Address {
			return true
		}
	}
	return false
}

func (d *Dispatcher) ping(home tracker.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	_, err := messenger.Call[wire.Empty, wire.Empty](ctx, d.Messenger, home.Address, kindPing, wire.Empty{})
	return err == nil
}
