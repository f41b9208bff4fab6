package hostrunner

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/drainer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// onConnectionLimit logs and counts a connection above the maximum.
func (rh *RoutingHost) onConnectionLimit(isClosed bool) {
	outcome := "another one made room"
	if isClosed {
		outcome = "closed"
	}
	rh.meter.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("crowded_connections").Inc(1)
	eventlogger.Warn(rh.logs, eventlogger.ConnectionLimit, "bound", rh.cfg.MaxConnections, "outcome", outcome)
}

func (rh *RoutingHost) lifetime() time.Duration {
	return min(time.Duration(drainer.LifetimeFraction*float64(rh.cfg.Grace)), rh.cfg.AddressLifetime)
}

// addresses returns the addresses of serving hosts in random order, which spreads the callers.
func (rh *RoutingHost) addresses(string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range rh.gossiper.Serving() {
		list = append(list, m.Callers)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)]
}
