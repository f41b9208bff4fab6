package isolator

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/quarantiner"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
)

const (
	// crashCloseDelay is the time within which a crashed endpoint has closed its listening socket.
	crashCloseDelay = 50 * time.Millisecond
	// crashTimeout is how long an endpoint may take to accept a connection before it counts as crashed.
	crashTimeout = 500 * time.Millisecond
	// witnesses is the number of hosts that check the end of an endpoint which another host has reported.
	witnesses = 3
	// witnessTimeout bounds the check of a witness. An endpoint that does not answer in that time proves nothing.
	witnessTimeout = 200 * time.Millisecond
)

// confirm checks by a connection whether an endpoint that interrupted a request has ended.
func (i *Isolator) confirm(e Endpoint) {
	i.options.Clock.Sleep(crashCloseDelay)
	conn, err := net.DialTimeout("tcp", e.Address.String(), crashTimeout)
	if err != nil {
		i.RecordRemoval(e.ID)
		return
	}
	_ = conn.Close()
}

// isWitness reports whether this host is one of those that check the end of an endpoint.
func (i *Isolator) isWitness(e quarantiner.End) bool {
	var names []string
	for _, m := range i.options.Hosts.Serving() {
		if !slices.Contains(e.Witnesses, m.Name) {
			names = append(names, m.Name)
		}
	}
	ranked := ranker.Rank(e.Engine.ID, names)
	return slices.Contains(ranked[:min(witnesses, len(ranked))], i.options.Hosts.Self().Name)
}

// witness checks the end of an endpoint that another host has reported, and tells the others what it found.
func (i *Isolator) witness(engine quarantiner.Engine, at time.Time, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil && ctx.Err() != nil {
		return
	}
	self := []string{i.options.Hosts.Self().Name}
	e := quarantiner.End{Engine: engine, At: at}
	if err != nil {
		e.Witnesses = self
	} else {
		_ = conn.Close()
		e.Deniers = self
	}
	i.report(e, netip.AddrPort{})
}
