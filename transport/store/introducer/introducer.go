// Package introducer lets hosts discover each other through the platform's log when they reach none of their seeds.
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
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	// checkInterval is how long only seeds are tried after the start, and then the time between two reads of the log.
	checkInterval = 2 * time.Second
	// introducerCount is the number of hosts that write an entry to the log. Few suffice, because one host that is reached
	// gives access to all others.
	introducerCount = 5
	// callTimeout bounds one write to the log or one listing of it.
	callTimeout = 2 * time.Second
)

// Store reads and writes the platform's log.
type Store interface {
	Newest(ctx context.Context, topic, after string) (tailer.Page, error)
	Put(ctx context.Context, topic, key string, value []byte, end *uint64) (uint64, error)
}

// Hosts is the membership list.
type Hosts interface {
	// KnownHosts returns the number of other hosts in the list, including dead ones.
	KnownHosts() int
	// Serving returns the hosts that are alive, including this host.
	Serving() []tracker.Member
	// AddSeeds adds addresses at which other hosts may be reached.
	AddSeeds(seeds []netip.AddrPort)
}

// Options configures an Introducer.
type Options struct {
	Topic   string
	Host    string
	Address netip.AddrPort
	Store   Store
	Hosts   Hosts
	Clock   clockwork.Clock
	Logs    hclog.Logger
}

// Introducer publishes the address of this host in the log and reads the addresses of others.
type Introducer struct {
	options Options
	// era is the newest known era of the log; writtenEra is the era of this host's entry plus one, 0 without an entry.
	era        atomic.Uint64
	writtenEra atomic.Uint64
	done       chan struct{}
}

// New returns an Introducer; Run starts it.
func New(o Options) *Introducer { return &Introducer{options: o, done: make(chan struct{})} }

// Done returns a channel that is closed once Run has returned.
func (i *Introducer) Done() <-chan struct{} { return i.done }

// SetEra sets the era of the log as read from it. In a new era, this host's entry may be lost and is written again.
func (i *Introducer) SetEra(era uint64) { i.era.Store(era) }

func (i *Introducer) isWritten() bool { return i.writtenEra.Load() > i.era.Load() }

// entry is the JSON value of a host's key.
type entry struct {
	Address netip.AddrPort `json:"address"`
}

// Run writes this host's entry if the host is an introducer or knows no other host, and reads seeds from the log as long as
// no other host is known, until ctx is done.
func (i *Introducer) Run(ctx context.Context) {
	defer close(i.done)
	for i.sleep(ctx, checkInterval) {
		hasNoPeers := i.options.Hosts.KnownHosts() == 0
		if !i.isWritten() && (hasNoPeers || i.isIntroducer()) {
			i.writeEntry(ctx)
		}
		if hasNoPeers {
			i.readSeeds(ctx)
		}
	}
}

// isIntroducer reports whether this host is among the introducerCount first hosts by rank, so that hundreds of hosts that
// start together write only a few entries.
func (i *Introducer) isIntroducer() bool {
	var names []string
	for _, m := range i.options.Hosts.Serving() {
		names = append(names, m.Name)
	}
	ranked := ranker.Rank("introducers", names)
	return slices.Contains(ranked[:min(introducerCount, len(ranked))], i.options.Host)
}

func (i *Introducer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-i.options.Clock.After(d):
		return true
	}
}

func (i *Introducer) writeEntry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(entry{Address: i.options.Address})
	var position uint64
	if err == nil {
		position, err = i.options.Store.Put(ctx, i.options.Topic, i.options.Host, value, nil)
	}
	if err != nil {
		eventlogger.Warn(i.options.Logs, eventlogger.DiscoveryFailed, "host", i.options.Host, "error", err.Error())
		return
	}
	i.writtenEra.Store(replicator.Era(position) + 1)
}

// readSeeds adds the addresses in the entries of other hosts as seeds. Some entries may be of hosts that no longer exist.
func (i *Introducer) readSeeds(ctx context.Context) {
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
		eventlogger.Warn(i.options.Logs, eventlogger.DiscoveryFailed, "host", i.options.Host, "error", err.Error())
		return
	}
	eventlogger.Info(i.options.Logs, eventlogger.HostsDiscovered, "host", i.options.Host, "seeds", len(seeds))
	i.options.Hosts.AddSeeds(seeds)
}
