// Package reserver books the places of engines: as owner of some engines for all hosts, and with the owners of others.
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
	kindBook  = "book"
	kindDrop  = "drop"
	kindQueue = "queue"
	kindGive  = "give"
	// callTimeout bounds the wait for an owner; beyond it the host decides alone.
	callTimeout = 20 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked.
	ownerPause = time.Second
	// countIdle is how long the counts of an engine that nobody asks for are kept.
	countIdle = time.Minute
)

// counts are what an owner knows of one engine, under its own lock.
type counts struct {
	mu    sync.Mutex
	book  *booker.Reservations
	queue booker.Queue
	used  time.Time
}

// Options are the settings of a Reserver.
type Options struct {
	Hosts     *gossiper.Gossiper
	Messenger *messenger.Messenger
	// Service is the mean time that a request holds a slot, until it has been learned.
	Service time.Duration
	Clock   clockwork.Clock
}

// Reserver books places.
type Reserver struct {
	options Options
	mu      sync.Mutex
	engines map[string]*counts
	silent  map[string]time.Time
}

// New returns a Reserver and takes the kinds of messages it answers as owner of engines.
func New(o Options) *Reserver {
	r := &Reserver{options: o, engines: make(map[string]*counts), silent: make(map[string]time.Time)}
	messenger.Handle(o.Messenger, kindBook, r.answerBook)
	messenger.Handle(o.Messenger, kindDrop, r.answerDrop)
	messenger.Handle(o.Messenger, kindQueue, r.answerQueue)
	messenger.Handle(o.Messenger, kindGive, r.answerGive)
	return r
}

// Report takes an engine's load report.
func (r *Reserver) Report(e watcher.Endpoint) {
	c := r.counts(e.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Report(booker.Report{
		Running: e.Load.Running, Waiting: e.Load.Waiting, Slots: e.Load.Slots,
		Held: e.Load.Held, Capacity: e.Load.Blocks, Incarnation: e.Load.Incarnation,
	})
}

func (r *Reserver) counts(engine string) *counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.engines[engine]
	if c == nil {
		c = &counts{book: booker.New(r.options.Service)}
		r.engines[engine] = c
	}
	c.used = r.options.Clock.Now()
	r.forget(c.used)
	return c
}

// forget drops the counts of engines that are gone. The caller holds mu.
func (r *Reserver) forget(now time.Time) {
	for name, c := range r.engines {
		if now.Sub(c.used) > countIdle {
			delete(r.engines, name)
		}
	}
}

func (r *Reserver) isSilent(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Clock.Since(r.silent[host]) < ownerPause
}

func (r *Reserver) setSilent(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[host] = r.options.Clock.Now()
}
