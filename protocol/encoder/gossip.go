package encoder

import (
	"net/netip"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// Gossip returns m as a wire type.
func Gossip(m tracker.Message) wire.Gossip {
	return wire.Gossip{Answer: m.Answer, Origin: host(m.From), Rules: m.Rules, Updates: Hosts(m.Updates)}
}

// Hosts returns members as wire types.
func Hosts(members []tracker.Member) []wire.Host {
	var hosts []wire.Host
	for _, m := range members {
		hosts = append(hosts, host(m))
	}
	return hosts
}

// Members returns wire hosts as members.
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
		Name: m.Name, Address: m.Address.String(), Callers: m.Callers.String(), Zone: m.DataCentre,
		Incarnation: m.Incarnation, State: uint8(m.State), Blind: m.LogUnreachable, Power: m.Power,
	}
}

// TrackerMessage returns w as a tracker message.
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
		return tracker.Member{}, errorx.Decorate(err, "encoder: unable to read address of host %q", w.Name)
	}
	callers, err := netip.ParseAddrPort(w.Callers)
	if err != nil {
		return tracker.Member{}, errorx.Decorate(err, "encoder: unable to read callers of host %q", w.Name)
	}
	return tracker.Member{
		Name: w.Name, Address: address, Callers: callers, DataCentre: w.Zone,
		Incarnation: w.Incarnation, State: tracker.State(w.State), LogUnreachable: w.Blind, Power: w.Power,
	}, nil
}
