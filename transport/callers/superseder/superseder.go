// Package superseder ensures that of several attempts with the same request ID only the newest runs: each new attempt
// cancels the older one, on whichever host that runs.
package superseder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/state/sharder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindBegin  = "enter"
	kindCancel = "cancel"
	// beginTimeout bounds the wait for the host that owns a request; after it the attempt continues regardless.
	beginTimeout = 500 * time.Millisecond
	// cancelTimeout bounds the wait for the end of a cancelled attempt.
	cancelTimeout = 400 * time.Millisecond
	// locationTTL is how long an owner stores where a request runs.
	locationTTL = 2 * time.Minute
	// sweepInterval is the number of attempts between two removals of expired locations.
	sweepInterval = 1000
)

// Key identifies a request; IDs are unique within an organisation.
type Key struct {
	Organisation string
	Request      string
}

func hash(k Key) uint64 { return xxhash.Sum64String(k.Organisation + "\x00" + k.Request) }

// runningAttempt is an attempt that runs on this host.
type runningAttempt struct {
	attempt uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// location is the host of the newest known attempt of a request.
type location struct {
	host    string
	attempt uint64
	at      time.Time
}

// Superseder tracks the attempts on this host, and for the requests that this host owns the locations of their attempts.
type Superseder struct {
	hosts        *gossiper.Gossiper
	messenger    *messenger.Messenger
	clock        clockwork.Clock
	logs         hclog.Logger
	attempts     *sharder.Map[Key, *runningAttempt]
	locations    *sharder.Map[Key, location]
	attemptCount atomic.Uint64
}

// New returns a Superseder and registers its message handlers.
func New(hosts *gossiper.Gossiper, m *messenger.Messenger, clock clockwork.Clock, logs hclog.Logger) *Superseder {
	s := &Superseder{
		hosts: hosts, messenger: m, clock: clock, logs: logs,
		attempts:  sharder.New[Key, *runningAttempt](hash),
		locations: sharder.New[Key, location](hash),
	}
	messenger.Handle(m, kindBegin, s.handleBegin)
	messenger.Handle(m, kindCancel, s.handleCancel)
	return s
}

// Begin starts an attempt after cancelling older attempts of the same request on all hosts. The returned context is
// cancelled when a newer attempt starts; end must be called when the attempt is done.
func (s *Superseder) Begin(ctx context.Context, k Key) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningAttempt{attempt: uint64(s.clock.Now().UnixNano()), cancel: cancel, done: make(chan struct{})}
	s.replace(ctx, k, r)
	s.notifyOwner(ctx, k, r.attempt)
	return ctx, func() {
		cancel()
		close(r.done)
		s.attempts.Update(k, func(o *runningAttempt, ok bool) (*runningAttempt, bool) { return o, ok && o != r })
	}
}

// replace registers r instead of an older local attempt and waits for the end of that attempt.
func (s *Superseder) replace(ctx context.Context, k Key, r *runningAttempt) {
	var older *runningAttempt
	s.attempts.Update(k, func(o *runningAttempt, _ bool) (*runningAttempt, bool) {
		older = o
		return r, true
	})
	if older != nil {
		s.end(ctx, k, older)
	}
}

func (s *Superseder) end(ctx context.Context, k Key, older *runningAttempt) {
	eventlogger.Info(s.logs, eventlogger.Superseded, "organisation", k.Organisation, "request", k.Request)
	older.cancel()
	select {
	case <-older.done:
	case <-ctx.Done():
	case <-s.clock.After(cancelTimeout):
	}
}

func (s *Superseder) notifyOwner(ctx context.Context, k Key, attempt uint64) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	owner, isLocal := s.hosts.Owner("request/" + k.Organisation + "/" + k.Request)
	req := wire.BeginRequest{Organisation: k.Organisation, Request: k.Request, Holder: s.hosts.Self().Name, Attempt: attempt}
	if isLocal {
		_, _ = s.handleBegin(ctx, req)
		return
	}
	_, _ = messenger.Call[wire.BeginRequest, wire.BeginResponse](ctx, s.messenger, owner.Address, kindBegin, req)
}

// handleEnter stores where the newest attempt runs and cancels the older one.
func (s *Superseder) handleBegin(ctx context.Context, w wire.BeginRequest) (wire.BeginResponse, error) {
	s.sweep()
	k := Key{Organisation: w.Organisation, Request: w.Request}
	next := location{host: w.Holder, attempt: w.Attempt, at: s.clock.Now()}
	var older location
	s.locations.Update(k, func(o location, _ bool) (location, bool) {
		older = o
		return next, true
	})
	if older.host == "" || older.host == w.Holder {
		return wire.BeginResponse{}, nil
	}
	req := wire.CancelRequest{Organisation: w.Organisation, Request: w.Request, Attempt: older.attempt}
	return wire.BeginResponse{Cancelled: s.cancelOn(ctx, older.host, req)}, nil
}

func (s *Superseder) cancelOn(ctx context.Context, host string, req wire.CancelRequest) bool {
	if host == s.hosts.Self().Name {
		a, _ := s.handleCancel(ctx, req)
		return a.Cancelled
	}
	for _, m := range s.hosts.Members() {
		if m.Name != host {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		a, err := messenger.Call[wire.CancelRequest, wire.CancelResponse](ctx, s.messenger, m.Address, kindCancel, req)
		return err == nil && a.Cancelled
	}
	return false
}

func (s *Superseder) handleCancel(ctx context.Context, w wire.CancelRequest) (wire.CancelResponse, error) {
	k := Key{Organisation: w.Organisation, Request: w.Request}
	r, ok := s.attempts.Get(k)
	if !ok || r.attempt > w.Attempt {
		return wire.CancelResponse{}, nil
	}
	s.end(ctx, k, r)
	return wire.CancelResponse{Cancelled: true}, nil
}

func (s *Superseder) sweep() {
	if s.attemptCount.Add(1)%sweepInterval != 0 {
		return
	}
	now := s.clock.Now()
	s.locations.Each(func(k Key, p location) {
		if now.Sub(p.at) > locationTTL {
			s.locations.Update(k, func(o location, ok bool) (location, bool) { return o, ok && o != p })
		}
	})
}
