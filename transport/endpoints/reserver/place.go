package reserver

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// Place is a place in the queue of a prefill engine.
type QueueEntry struct {
	Granted bool
	// Wait is the time before the work begins, as the owner counts it; it is not known if Asked is false.
	Wait     time.Duration
	Answered bool
	cancel   func()
}

// Give gives back a place that will not be used. Only the first call does anything.
func (p *QueueEntry) Cancel() {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
}

// Place asks the engine's owner for a place in its queue for work that must end by latest. If the owner is out of
// reach, the place is granted unasked.
func (r *Reserver) Enqueue(ctx context.Context, engine string, work time.Duration, latest time.Time) *QueueEntry {
	owner, own := r.options.Hosts.Home("engine/" + engine)
	if own {
		wait, ok := r.enqueueLocal(engine, work, latest)
		return queueEntry(ok, wait, func() { r.dequeueLocal(engine, work) })
	}
	if r.isUnresponsive(owner.Name) {
		return &QueueEntry{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ask := wire.QueueAsk{Engine: engine, Work: int(work.Microseconds()), Latest: int(latest.Sub(r.options.Clock.Now()).Microseconds())}
	answer, err := messenger.Call[wire.QueueAsk, wire.QueueAnswer](ctx, r.options.Messenger, owner.Address, kindQueue, ask)
	if err != nil {
		r.markUnresponsive(owner.Name)
		return &QueueEntry{Granted: true}
	}
	give := func() {
		tell := wire.QueueGive{Engine: engine, Work: ask.Work}
		_ = messenger.Tell(context.Background(), r.options.Messenger, owner.Address, kindGive, tell)
	}
	return queueEntry(answer.Granted, time.Duration(answer.Wait)*time.Microsecond, give)
}

// asked returns the owner's answer. A place that was refused has nothing to give back.
func queueEntry(granted bool, wait time.Duration, give func()) *QueueEntry {
	if !granted {
		give = nil
	}
	return &QueueEntry{Granted: granted, Wait: wait, Answered: true, cancel: give}
}

func (r *Reserver) enqueueLocal(engine string, work time.Duration, latest time.Time) (time.Duration, bool) {
	c := r.state(engine)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Take(r.options.Clock.Now(), work, latest)
}

func (r *Reserver) dequeueLocal(engine string, work time.Duration) {
	c := r.state(engine)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Give(work)
}

func (r *Reserver) handleQueue(_ context.Context, w wire.QueueAsk) (wire.QueueAnswer, error) {
	latest := r.options.Clock.Now().Add(time.Duration(w.Latest) * time.Microsecond)
	wait, ok := r.enqueueLocal(w.Engine, time.Duration(w.Work)*time.Microsecond, latest)
	return wire.QueueAnswer{Granted: ok, Wait: int(wait.Microseconds())}, nil
}

func (r *Reserver) handleGive(_ context.Context, w wire.QueueGive) (wire.Empty, error) {
	r.dequeueLocal(w.Engine, time.Duration(w.Work)*time.Microsecond)
	return wire.Empty{}, nil
}
