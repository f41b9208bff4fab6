package encoder

import (
	"net/netip"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// Gossip converts a tracker message to its wire type.
func Gossip(m tracker.Message) wire.Gossip {
	return wire.Gossip{Answer: m.Answer, Origin: host(m.From), Rules: m.Rules, Updates: Hosts(m.Updates)}
}

// Hosts converts tracker members to their wire types.
func Hosts(members []tracker.Member) []wire.Host {
	var hosts []wire.Host
	for _, m := range members {
		hosts = append(hosts, host(m))
	}
	return hosts
}

// Members converts wire hosts to tracker members. It fails if any address is invalid.
func Members(hosts []wire.Host) ([]tracker.Member, error) {
	var members []tracker.Member
	for _, h := range hosts {
		m, err := member(h)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

func host(m tracker.Member) wire.Host {
	return wire.Host{
		Name: m.Name, Address: m.Address.String(), Callers: m.Callers.String(), DataCentre: m.DataCentre,
		Incarnation: m.Incarnation, State: uint8(m.State), LogUnreachable: m.LogUnreachable, Power: m.Power,
	}
}

// TrackerMessage converts w to a tracker message. It fails if any address is invalid.
func TrackerMessage(w wire.Gossip) (tracker.Message, error) {
	from, err := member(w.Origin)
	if err != nil {
		return tracker.Message{}, err
	}
	updates, err := Members(w.Updates)
	if err != nil {
		return tracker.Message{}, err
	}
	return tracker.Message{Answer: w.Answer, From: from, Rules: w.Rules, Updates: updates}, nil
}

func member(w wire.Host) (tracker.Member, error) {
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return tracker.Member{}, errorx.Decorate(err, "encoder: unable to parse the address of host %q", w.Name)
	}
	callers, err := netip.ParseAddrPort(w.Callers)
	if err != nil {
		return tracker.Member{}, errorx.Decorate(err, "encoder: unable to parse the callers address of host %q", w.Name)
	}
	return tracker.Member{
		Name: w.Name, Address: address, Callers: callers, DataCentre: w.DataCentre,
		Incarnation: w.Incarnation, State: tracker.State(w.State), LogUnreachable: w.LogUnreachable, Power: w.Power,
	}, nil
}
