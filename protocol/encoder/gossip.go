package encoder

import (
	"net/netip"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// Gossip returns m as a wire type.
func Gossip(m tracker.Message) wire.Gossip {
	w := wire.Gossip{Answer: m.Answer, Origin: host(m.From), Rules: m.Rules}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, host(u))
	}
	return w
}

func host(m tracker.Member) wire.Host {
	return wire.Host{
		Name: m.Name, Address: m.Address.String(), Callers: m.Callers.String(), Zone: m.DataCentre,
		Incarnation: m.Incarnation, State: uint8(m.State), Blind: m.Blind,
	}
}

// TrackerMessage returns w as a tracker message.
func TrackerMessage(w wire.Gossip) (tracker.Message, error) {
	from, err := member(w.Origin)
	if err != nil {
		return tracker.Message{}, err
	}
	m := tracker.Message{Answer: w.Answer, From: from, Rules: w.Rules}
	for _, u := range w.Updates {
		update, err := member(u)
		if err != nil {
			return tracker.Message{}, err
		}
		m.Updates = append(m.Updates, update)
	}
	return m, nil
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
		Incarnation: w.Incarnation, State: tracker.State(w.State), Blind: w.Blind,
	}, nil
}
