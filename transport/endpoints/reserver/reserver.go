// Package reserver reserves queue entries and decode slots of engines. Each engine has an owner host, which keeps its
// reservations for all hosts.
package reserver

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/booker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindReserve = "book"
	kindRelease = "drop"
	kindQueue   = "queue"
	kindCancel  = "give"
	// callTimeout limits a call to an owner; after it the host decides without the owner.
	callTimeout = 20 * time.Millisecond
	// ownerRetryInterval is how long no calls are sent to an owner that did not answer.
	ownerRetryInterval = time.Second
	// stateIdleTimeout is how long the state of an engine is kept after its last use.
	stateIdleTimeout = time.Minute
)

// engineState holds the owner's reservations of one engine.
type engineState struct {
	mu           sync.Mutex
	reservations *booker.Reservations
	queue        booker.Queue
	lastUsed     time.Time
}

// Options are the settings of a Reserver.
type Options struct {
	Hosts     *gossiper.Gossiper
	Messenger *messenger.Messenger
	// MeanServiceTime is the initial estimate of the mean time for which a request holds a slot.
	MeanServiceTime time.Duration
	Clock           clockwork.Clock
}

// Reserver reserves queue entries and slots, locally for owned engines and remotely for others.
type Reserver struct {
	options      Options
	mu           sync.Mutex
	engines      map[string]*engineState
	unresponsive map[string]time.Time
}

// New returns a Reserver and registers the message handlers for the engines that this host owns.
func New(o Options) *Reserver {
	r := &Reserver{options: o, engines: make(map[string]*engineState), unresponsive: make(map[string]time.Time)}
	messenger.Handle(o.Messenger, kindReserve, r.handleReserve)
	messenger.Handle(o.Messenger, kindRelease, r.handleRelease)
	messenger.Handle(o.Messenger, kindQueue, r.handleQueue)
	messenger.Handle(o.Messenger, kindCancel, r.handleCancel)
	return r
}

// Report updates the reservations of an engine with its load report.
func (r *Reserver) Report(e watcher.Endpoint) {
	s := r.state(e.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations.Report(booker.Report{
		Running: e.Load.Running, Waiting: e.Load.Waiting, Slots: e.Load.Slots,
		Held: e.Load.Held, Capacity: e.Load.Blocks, Incarnation: e.Load.Incarnation,
	})
}

func (r *Reserver) state(engine string) *engineState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.engines[engine]
	if s == nil {
		s = &engineState{reservations: booker.New(r.options.MeanServiceTime)}
		r.engines[engine] = s
	}
	s.lastUsed = r.options.Clock.Now()
	r.evictIdle(s.lastUsed)
	return s
}

// evictIdle drops the state of engines that are no longer used. The caller holds mu.
func (r *Reserver) evictIdle(now time.Time) {
	for name, s := range r.engines {
		if now.Sub(s.lastUsed) > stateIdleTimeout {
			delete(r.engines, name)
		}
	}
}

func (r *Reserver) isUnresponsive(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Clock.Since(r.unresponsive[host]) < ownerRetryInterval
}

func (r *Reserver) markUnresponsive(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive[host] = r.options.Clock.Now()
}
