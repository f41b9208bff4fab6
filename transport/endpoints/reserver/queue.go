package reserver

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// QueueEntry is an entry in the queue of a prefill engine, or the refusal of one.
type QueueEntry struct {
	Granted bool
	// Wait is the owner's estimate of the time before the work starts. It is valid only if Answered is set.
	Wait     time.Duration
	Answered bool
	cancel   func()
}

// Cancel removes an entry that will not be used from the queue. Further calls have no effect.
func (q *QueueEntry) Cancel() {
	if q.cancel == nil {
		return
	}
	q.cancel()
	q.cancel = nil
}

// Enqueue requests an entry in the engine's queue from its owner, for work that must end by latest. If the owner cannot
// be reached, the entry is granted without it.
func (r *Reserver) Enqueue(ctx context.Context, engine string, work time.Duration, latest time.Time) *QueueEntry {
	owner, isOwner := r.options.Hosts.Owner("engine/" + engine)
	if isOwner {
		wait, ok := r.enqueueLocal(engine, work, latest)
		return queueEntry(ok, wait, func() { r.dequeueLocal(engine, work) })
	}
	if r.isUnresponsive(owner.Name) {
		return &QueueEntry{Granted: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := wire.QueueRequest{Engine: engine, Work: int(work.Microseconds()), LatestStart: int(latest.Sub(r.options.Clock.Now()).Microseconds())}
	answer, err := messenger.Call[wire.QueueRequest, wire.QueueResponse](ctx, r.options.Messenger, owner.Address, kindQueue, req)
	if err != nil {
		r.markUnresponsive(owner.Name)
		return &QueueEntry{Granted: true}
	}
	dequeue := func() {
		msg := wire.QueueCancel{Engine: engine, Work: req.Work}
		_ = messenger.Notify(context.Background(), r.options.Messenger, owner.Address, kindCancel, msg)
	}
	return queueEntry(answer.Granted, time.Duration(answer.Wait)*time.Microsecond, dequeue)
}

// queueEntry returns the owner's answer as an entry. A refused entry has nothing to cancel.
func queueEntry(granted bool, wait time.Duration, dequeue func()) *QueueEntry {
	if !granted {
		dequeue = nil
	}
	return &QueueEntry{Granted: granted, Wait: wait, Answered: true, cancel: dequeue}
}

func (r *Reserver) enqueueLocal(engine string, work time.Duration, latest time.Time) (time.Duration, bool) {
	s := r.state(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Enqueue(r.options.Clock.Now(), work, latest)
}

func (r *Reserver) dequeueLocal(engine string, work time.Duration) {
	s := r.state(engine)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(work)
}

func (r *Reserver) handleQueue(_ context.Context, req wire.QueueRequest) (wire.QueueResponse, error) {
	latest := r.options.Clock.Now().Add(time.Duration(req.LatestStart) * time.Microsecond)
	wait, ok := r.enqueueLocal(req.Engine, time.Duration(req.Work)*time.Microsecond, latest)
	return wire.QueueResponse{Granted: ok, Wait: int(wait.Microseconds())}, nil
}

func (r *Reserver) handleCancel(_ context.Context, req wire.QueueCancel) (wire.Empty, error) {
	r.dequeueLocal(req.Engine, time.Duration(req.Work)*time.Microsecond)
	return wire.Empty{}, nil
}
