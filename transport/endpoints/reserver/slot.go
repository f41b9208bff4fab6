package reserver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/booker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

var errNoReport = errors.New("reserver: unable to reserve a slot: the engine has sent no load report yet")

// Slot is a reservation of a decode slot, held until Release.
type Slot struct {
	Granted bool
	release func()
}

// Release frees the slot. Further calls have no effect.
func (s *Slot) Release() {
	if s.release == nil {
		return
	}
	s.release()
	s.release = nil
}

// SlotRequest describes a slot for the request Sequence of this host: it arrives at Arrival, must start by Latest, and its
// reservation expires at Until.
type SlotRequest struct {
	Sequence uint64
	Blocks   int
	Arrival  time.Time
	Latest   time.Time
	Until    time.Time
	Suspect  bool
}

// Reserve requests a slot from the engine's owner. If the owner cannot be reached, the slot is granted without it, as the
// engine was already chosen by its last load report.
func (r *Reserver) Reserve(ctx context.Context, engine string, q SlotRequest) *Slot {
	self := r.options.Hosts.Self().Name
	owner, isOwner := r.options.Hosts.Owner("engine/" + engine)
	if isOwner {
		return r.reserveLocal(engine, reservationID(self, q.Sequence), q)
	}
	if r.isUnresponsive(owner.Name) {
		return &Slot{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := r.options.Clock.Now()
	req := wire.ReservationRequest{
		Engine: engine, Host: self, Seq: q.Sequence, Blocks: q.Blocks, Suspect: q.Suspect,
		Arrival: millis(q.Arrival.Sub(now)), LatestStart: millis(q.Latest.Sub(now)), Until: millis(q.Until.Sub(now)),
	}
	answer, err := messenger.Call[wire.ReservationRequest, wire.ReservationResponse](ctx, r.options.Messenger, owner.Address, kindReserve, req)
	release := func() {
		msg := wire.ReservationRelease{Engine: engine, Host: self, Seq: q.Sequence}
		_ = messenger.Notify(context.Background(), r.options.Messenger, owner.Address, kindRelease, msg)
	}
	if err != nil {
		r.markUnresponsive(owner.Name)
		return &Slot{Granted: true, release: release}
	}
	if !answer.Granted {
		release = nil
	}
	return &Slot{Granted: answer.Granted, release: release}
}

func millis(d time.Duration) int { return int(d.Milliseconds()) }

func reservationID(host string, sequence uint64) string { return fmt.Sprintf("%s/%d", host, sequence) }

func (r *Reserver) reserveLocal(engine, id string, q SlotRequest) *Slot {
	granted, err := r.reserve(engine, id, q)
	if err != nil {
		return &Slot{Granted: true}
	}
	return &Slot{Granted: granted, release: func() { r.release(engine, id) }}
}

func (r *Reserver) reserve(engine, id string, q SlotRequest) (granted bool, err error) {
	s := r.state(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reservations.Slots() == 0 {
		return false, errNoReport
	}
	return s.reservations.Reserve(r.options.Clock.Now(), booker.Request{
		ID: id, Blocks: q.Blocks, Arrival: q.Arrival, Latest: q.Latest, Until: q.Until, Suspect: q.Suspect,
	}), nil
}

func (r *Reserver) release(engine, id string) {
	s := r.state(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations.Release(r.options.Clock.Now(), id)
}

func (r *Reserver) handleReserve(_ context.Context, req wire.ReservationRequest) (wire.ReservationResponse, error) {
	now := r.options.Clock.Now()
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	granted, err := r.reserve(req.Engine, reservationID(req.Host, req.Seq), SlotRequest{
		Blocks: req.Blocks, Suspect: req.Suspect, Arrival: after(req.Arrival), Latest: after(req.LatestStart), Until: after(req.Until),
	})
	if err != nil {
		return wire.ReservationResponse{}, err
	}
	return wire.ReservationResponse{Granted: granted}, nil
}

func (r *Reserver) handleRelease(_ context.Context, req wire.ReservationRelease) (wire.Empty, error) {
	r.release(req.Engine, reservationID(req.Host, req.Seq))
	return wire.Empty{}, nil
}
