// Package introducer has hosts find each other through the platform's log when their seeds are of no use.
package introducer

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	// lookAfter is how long seeds are tried alone, and the time between two looks at the log.
	lookAfter = 2 * time.Second
	// introducers is the number of hosts that can be found in the log: a host that finds one has found all.
	introducers = 5
	// callTimeout bounds one call to the log.
	callTimeout = 2 * time.Second
)

// Store is the platform's log.
type Store interface {
	Newest(ctx context.Context, topic, after string) (tailer.Page, error)
	Put(ctx context.Context, topic, key string, value []byte, end *uint64) (uint64, error)
}

// Hosts are the hosts that are known.
type Hosts interface {
	// Met returns the number of other hosts that were ever met.
	Met() int
	// Serving returns the hosts that are in touch, the own one included.
	Serving() []tracker.Member
	// AddSeeds adds addresses to try.
	AddSeeds(seeds []netip.AddrPort)
}

// Options are the settings of an Introducer.
type Options struct {
	Topic   string
	Host    string
	Address netip.AddrPort
	Store   Store
	Hosts   Hosts
	Clock   clockwork.Clock
	Logs    hclog.Logger
}

// Introducer writes where this host can be reached, and reads where others can.
type Introducer struct {
	options Options
	// era is the newest that was seen, written the one after that of the own entry, 0 if there is none.
	era     atomic.Uint64
	written atomic.Uint64
	done    chan struct{}
}

// New returns an Introducer.
func New(o Options) *Introducer { return &Introducer{options: o, done: make(chan struct{})} }

// Done is closed once Run has returned.
func (i *Introducer) Done() <-chan struct{} { return i.done }

// SeeEra takes in the era of the log that a reading has shown. In a new one the own entry may be gone.
func (i *Introducer) SeeEra(era uint64) { i.era.Store(era) }

func (i *Introducer) isWritten() bool { return i.written.Load() > i.era.Load() }

// entry is the value of a host's key.
type entry struct {
	Address netip.AddrPort `json:"address"`
}

// Run writes the own entry if this host is one of those to be found, and looks for others until one was met, until ctx
// ends.
func (i *Introducer) Run(ctx context.Context) {
	defer close(i.done)
	for i.sleep(ctx, lookAfter) {
		isAlone := i.options.Hosts.Met() == 0
		if !i.isWritten() && (isAlone || i.isIntroducer()) {
			i.write(ctx)
		}
		if isAlone {
			i.look(ctx)
		}
	}
}

// isIntroducer tells whether this host is one of those that others find in the log: the first ones by hash, so that
// hundreds of hosts that start write a few entries.
func (i *Introducer) isIntroducer() bool {
	var names []string
	for _, m := range i.options.Hosts.Serving() {
		names = append(names, m.Name)
	}
	ranked := ranker.Rank("introducers", names)
	return slices.Contains(ranked[:min(introducers, len(ranked))], i.options.Host)
}

func (i *Introducer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-i.options.Clock.After(d):
		return true
	}
}

func (i *Introducer) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(entry{Address: i.options.Address})
	var position uint64
	if err == nil {
		position, err = i.options.Store.Put(ctx, i.options.Topic, i.options.Host, value, nil)
	}
	if err != nil {
		eventer.Warn(i.options.Logs, eventer.DiscoveryFailed, "host", i.options.Host, "error", err.Error())
		return
	}
	i.written.Store(replicator.Era(position) + 1)
}

// look takes the entries of other hosts as seeds. They may be of hosts that are gone.
func (i *Introducer) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var seeds []netip.AddrPort
	_, err := tailer.List(ctx, i.options.Store, i.options.Topic, func(r tailer.Record) {
		var e entry
		if json.Unmarshal(r.Value, &e) == nil && e.Address.IsValid() && r.Key != i.options.Host {
			seeds = append(seeds, e.Address)
		}
	})
	if err != nil {
		eventer.Warn(i.options.Logs, eventer.DiscoveryFailed, "host", i.options.Host, "error", err.Error())
		return
	}
	eventer.Info(i.options.Logs, eventer.HostsDiscovered, "host", i.options.Host, "seeds", len(seeds))
	i.options.Hosts.AddSeeds(seeds)
}
