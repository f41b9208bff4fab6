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
	redirection = 2 * time.Second
)

// redirect is an earlier home's word on where the home of a service is.
type redirect struct {
	home  tracker.Member
	until time.Time
}

// home returns the host to ask for places, and whether it is the own one.
func (d *Dispatcher) home(service string) (home tracker.Member, own bool) {
	home, own = d.Hosts.SteadyHome(homeKey(service), d.isSilent)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.redirected[service]; ok && d.Clock.Now().Before(r.until) {
		return r.home, false
	}
	return home, own
}

// isNeverSilent stands for hosts of which nothing is known.
func isNeverSilent(string) bool { return false }

// isStandIn tells whether home stands in for one that is silent.
func (d *Dispatcher) isStandIn(service string, home tracker.Member) bool {
	first, _ := d.Hosts.SteadyHome(homeKey(service), isNeverSilent)
	return first.Name != home.Name
}

func (d *Dispatcher) isRedirected(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Now().Before(d.redirected[service].until)
}

// follow takes an earlier home's word on where the home is.
func (d *Dispatcher) follow(service, name string) {
	for _, m := range d.Hosts.Serving() {
		if m.Name == name {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.redirected[service] = redirect{home: m, until: d.Clock.Now().Add(redirection)}
			return
		}
	}
}

func homeKey(service string) string { return "engines/" + service }

// isHome tells whether this host places the generations of a service for all.
func (d *Dispatcher) isHome(service string) bool {
	_, own := d.Hosts.SteadyHome(homeKey(service), isNeverSilent)
	return own && d.Hosts.HasMajority()
}

func (d *Dispatcher) isSilent(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent[host]
}

// setSilent has a home that did not answer passed over until it answers a ping.
func (d *Dispatcher) setSilent(home tracker.Member, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent[home.Name] || d.closed {
		return
	}
	d.silent[home.Name] = true
	eventer.Warn(d.Logs, eventer.OwnerUnresponsive, "host", home.Name, "error", err.Error())
	go d.awaitHome(home)
}

// awaitHome pings a silent home until it answers or is gone.
func (d *Dispatcher) awaitHome(home tracker.Member) {
	begun := d.Clock.Now()
	for d.sleep(pingPeriod) {
		if !d.isServing(home) || d.answers(home) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.silent, home.Name)
	eventer.Info(d.Logs, eventer.OwnerResponsive, "host", home.Name, "ms", d.Clock.Now().Sub(begun).Milliseconds())
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

func (d *Dispatcher) answers(home tracker.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
	defer cancel()
	_, err := messenger.Call[wire.Empty, wire.Empty](ctx, d.Messenger, home.Address, kindHere, wire.Empty{})
	return err == nil
}
