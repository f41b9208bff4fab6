// Package supervisor sees to it that a request sent again under the same ID has one running attempt: the newest.
package supervisor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/state/sharder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindEnter  = "enter"
	kindCancel = "cancel"
	// enterTimeout bounds the wait for a request's home; beyond it the attempt goes on without.
	enterTimeout = 500 * time.Millisecond
	// cancelTimeout bounds the wait for the end of an older attempt.
	cancelTimeout = 400 * time.Millisecond
	// memory is how long a home remembers where a request runs.
	memory = 2 * time.Minute
	// sweepEvery is the number of entries between two searches for old ones.
	sweepEvery = 1000
)

// Key names a request of an organisation.
type Key struct {
	Organisation string
	Request      string
}

func hash(k Key) uint64 { return xxhash.Sum64String(k.Organisation + "\x00" + k.Request) }

// running is an attempt on this host.
type running struct {
	attempt uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// place is where a request was last seen to run.
type place struct {
	holder  string
	attempt uint64
	at      time.Time
}

// Supervisor holds this host's attempts, and as home of some requests the places of their attempts.
type Supervisor struct {
	hosts     *gossiper.Gossiper
	messenger *messenger.Messenger
	clock     clockwork.Clock
	logs      hclog.Logger
	attempts  *sharder.Map[Key, *running]
	places    *sharder.Map[Key, place]
	entered   atomic.Uint64
}

// New returns a Supervisor and takes the kinds of messages it answers.
func New(hosts *gossiper.Gossiper, m *messenger.Messenger, clock clockwork.Clock, logs hclog.Logger) *Supervisor {
	s := &Supervisor{
		hosts: hosts, messenger: m, clock: clock, logs: logs,
		attempts: sharder.New[Key, *running](hash),
		places:   sharder.New[Key, place](hash),
	}
	messenger.Handle(m, kindEnter, s.answerEnter)
	messenger.Handle(m, kindCancel, s.answerCancel)
	return s
}

// Enter begins an attempt and ends the older ones of the same request everywhere first. The returned context ends
// when a newer attempt begins; leave must be called at the end.
func (s *Supervisor) Enter(ctx context.Context, k Key) (_ context.Context, leave func()) {
	ctx, cancel := context.WithCancel(ctx)
	r := &running{attempt: uint64(s.clock.Now().UnixNano()), cancel: cancel, done: make(chan struct{})}
	s.replace(ctx, k, r)
	s.enterHome(ctx, k, r.attempt)
	return ctx, func() {
		cancel()
		close(r.done)
		s.attempts.Update(k, func(o *running, ok bool) (*running, bool) { return o, ok && o != r })
	}
}

// replace puts r in the place of an older local attempt and waits for that one's end.
func (s *Supervisor) replace(ctx context.Context, k Key, r *running) {
	var older *running
	s.attempts.Update(k, func(o *running, _ bool) (*running, bool) {
		older = o
		return r, true
	})
	if older != nil {
		s.end(ctx, k, older)
	}
}

func (s *Supervisor) end(ctx context.Context, k Key, older *running) {
	eventer.Info(s.logs, eventer.Superseded, "organisation", k.Organisation, "request", k.Request)
	older.cancel()
	select {
	case <-older.done:
	case <-ctx.Done():
	case <-s.clock.After(cancelTimeout):
	}
}

func (s *Supervisor) enterHome(ctx context.Context, k Key, attempt uint64) {
	ctx, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	home, own := s.hosts.Home("request/" + k.Organisation + "/" + k.Request)
	ask := wire.BeginRequest{Organisation: k.Organisation, Request: k.Request, Holder: s.hosts.Self().Name, Attempt: attempt}
	if own {
		_, _ = s.answerEnter(ctx, ask)
		return
	}
	_, _ = messenger.Call[wire.BeginRequest, wire.BeginResponse](ctx, s.messenger, home.Address, kindEnter, ask)
}

// answerEnter notes where the newest attempt runs and has the older one cancelled.
func (s *Supervisor) answerEnter(ctx context.Context, w wire.BeginRequest) (wire.BeginResponse, error) {
	s.sweep()
	k := Key{Organisation: w.Organisation, Request: w.Request}
	next := place{holder: w.Holder, attempt: w.Attempt, at: s.clock.Now()}
	var older place
	s.places.Update(k, func(o place, _ bool) (place, bool) {
		older = o
		return next, true
	})
	if older.holder == "" || older.holder == w.Holder {
		return wire.BeginResponse{}, nil
	}
	ask := wire.CancelRequest{Organisation: w.Organisation, Request: w.Request, Attempt: older.attempt}
	return wire.BeginResponse{Cancelled: s.cancelAt(ctx, older.holder, ask)}, nil
}

func (s *Supervisor) cancelAt(ctx context.Context, holder string, ask wire.CancelRequest) bool {
	if holder == s.hosts.Self().Name {
		a, _ := s.answerCancel(ctx, ask)
		return a.Cancelled
	}
	for _, m := range s.hosts.Members() {
		if m.Name != holder {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		a, err := messenger.Call[wire.CancelRequest, wire.CancelResponse](ctx, s.messenger, m.Address, kindCancel, ask)
		return err == nil && a.Cancelled
	}
	return false
}

func (s *Supervisor) answerCancel(ctx context.Context, w wire.CancelRequest) (wire.CancelResponse, error) {
	k := Key{Organisation: w.Organisation, Request: w.Request}
	r, ok := s.attempts.Get(k)
	if !ok || r.attempt > w.Attempt {
		return wire.CancelResponse{}, nil
	}
	s.end(ctx, k, r)
	return wire.CancelResponse{Cancelled: true}, nil
}

func (s *Supervisor) sweep() {
	if s.entered.Add(1)%sweepEvery != 0 {
		return
	}
	now := s.clock.Now()
	s.places.Each(func(k Key, p place) {
		if now.Sub(p.at) > memory {
			s.places.Update(k, func(o place, ok bool) (place, bool) { return o, ok && o != p })
		}
	})
}
