package reserver

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// Place is a place in the queue of a prefill engine.
type Place struct {
	Granted bool
	// Wait is the time before the work begins, as the owner counts it; it is not known if Asked is false.
	Wait  time.Duration
	Asked bool
	give  func()
}

// Give gives back a place that will not be used. Only the first call does anything.
func (p *Place) Give() {
	if p.give == nil {
		return
	}
	p.give()
	p.give = nil
}

// Place asks the engine's owner for a place in its queue for work that must end by latest. If the owner is out of
// reach, the place is granted unasked.
func (r *Reserver) Place(ctx context.Context, engine string, work time.Duration, latest time.Time) *Place {
	owner, own := r.options.Hosts.Home("engine/" + engine)
	if own {
		wait, ok := r.enqueue(engine, work, latest)
		return asked(ok, wait, func() { r.dequeue(engine, work) })
	}
	if r.isSilent(owner.Name) {
		return &Place{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ask := wire.QueueAsk{Engine: engine, Work: int(work.Microseconds()), Latest: int(latest.Sub(r.options.Clock.Now()).Microseconds())}
	answer, err := messenger.Call[wire.QueueAsk, wire.QueueAnswer](ctx, r.options.Messenger, owner.Address, kindQueue, ask)
	if err != nil {
		r.setSilent(owner.Name)
		return &Place{Granted: true}
	}
	give := func() {
		tell := wire.QueueGive{Engine: engine, Work: ask.Work}
		_ = messenger.Tell(context.Background(), r.options.Messenger, owner.Address, kindGive, tell)
	}
	return asked(answer.Granted, time.Duration(answer.Wait)*time.Microsecond, give)
}

// asked returns the owner's answer. A place that was refused has nothing to give back.
func asked(granted bool, wait time.Duration, give func()) *Place {
	if !granted {
		give = nil
	}
	return &Place{Granted: granted, Wait: wait, Asked: true, give: give}
}

func (r *Reserver) enqueue(engine string, work time.Duration, latest time.Time) (time.Duration, bool) {
	c := r.counts(engine)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Enqueue(r.options.Clock.Now(), work, latest)
}

func (r *Reserver) dequeue(engine string, work time.Duration) {
	c := r.counts(engine)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Remove(work)
}

func (r *Reserver) answerQueue(_ context.Context, w wire.QueueAsk) (wire.QueueAnswer, error) {
	latest := r.options.Clock.Now().Add(time.Duration(w.Latest) * time.Microsecond)
	wait, ok := r.enqueue(w.Engine, time.Duration(w.Work)*time.Microsecond, latest)
	return wire.QueueAnswer{Granted: ok, Wait: int(wait.Microseconds())}, nil
}

func (r *Reserver) answerGive(_ context.Context, w wire.QueueGive) (wire.Empty, error) {
	r.dequeue(w.Engine, time.Duration(w.Work)*time.Microsecond)
	return wire.Empty{}, nil
}
