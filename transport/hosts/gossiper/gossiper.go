// Package gossiper maintains the membership list of hosts by exchanging heartbeats with them.
package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// Message kinds.
const (
	kindGossip  = "gossip"
	kindRules   = "rules"
	kindVersion = "version"
)

// ticksPerPeriod is the number of tracker ticks per heartbeat period; more ticks detect a missing answer sooner.
const ticksPerInterval = 5

// Rules is the versioned rule file that hosts replicate to each other. The version is 0 while there is none.
type Rules interface {
	Version() uint64
	File() publisher.File
	Offer(publisher.File)
}

// Options configures a Gossiper.
type Options struct {
	Self      tracker.Member
	Seeds     []netip.AddrPort
	Config    tracker.Config
	Messenger *messenger.Messenger
	Rules     Rules
	// IsLogUnreachable reports whether this host cannot reach the platform's log; nil means never.
	IsLogUnreachable func() bool
	Random           *rand.Rand
	Clock            clockwork.Clock
	Logs             hclog.Logger
}

// Gossiper runs a tracker and sends its messages to other hosts.
type Gossiper struct {
	options        Options
	mu             sync.Mutex
	tracker        *tracker.Tracker
	loggedMembers  map[string]tracker.Member
	logUnreachable bool
	// generation is the tracker's generation at the last call of logChanges.
	generation uint64
	serving    atomic.Pointer[servingHosts]
	maxServing atomic.Int64
	// unreachableSince maps each host that cannot reach the log, while most others can, to when that was first observed.
	unreachableSince map[string]time.Time
	done             chan struct{}
}

// servingHosts is an immutable snapshot of the hosts that owners are chosen from; each membership change creates a new one.
type servingHosts struct {
	members []tracker.Member
	names   []string
	// knownHosts is the number of remembered hosts that are not leaving, including dead hosts and this host.
	knownHosts int
	// stable holds the members that may own keys whose state is slow to rebuild.
	stable map[string]tracker.Member
}

// New returns a Gossiper and registers its message handlers.
func New(o Options) *Gossiper {
	g := &Gossiper{
		options:          o,
		tracker:          tracker.New(o.Config, o.Self, o.Seeds, o.Random),
		loggedMembers:    make(map[string]tracker.Member),
		unreachableSince: make(map[string]time.Time),
		done:             make(chan struct{}),
	}
	g.rebuild()
	messenger.Handle(o.Messenger, kindGossip, g.handleGossip)
	messenger.Handle(o.Messenger, kindRules, g.handleRules)
	messenger.Handle(o.Messenger, kindVersion, g.handleVersion)
	return g
}

// Done returns a channel that is closed once Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Run sends heartbeats until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	ticker := g.options.Clock.NewTicker(g.options.Config.Interval / ticksPerInterval)
	defer ticker.Stop()
	for {
		for _, s := range g.tick() {
			go g.send(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (g *Gossiper) tick() []tracker.Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetRules(g.options.Rules.Version())
	if g.options.IsLogUnreachable != nil {
		g.tracker.SetLogUnreachable(g.options.Clock.Now(), g.options.IsLogUnreachable())
	}
	sends := g.tracker.Tick(g.options.Clock.Now())
	g.logChanges()
	return sends
}

// logChanges logs the hosts whose state changed, or whose address changed by a restart, and updates the serving hosts.
// The caller holds mu.
func (g *Gossiper) logChanges() {
	changes := g.tracker.Generation()
	if changes == g.generation && len(g.unreachableSince) == 0 {
		return
	}
	g.generation = changes
	changed := false
	members := g.tracker.Members()
	for _, m := range members {
		if old, ok := g.loggedMembers[m.Name]; !ok || old != m {
			g.loggedMembers[m.Name] = m
			changed = true
			eventlogger.Info(g.options.Logs, eventlogger.HostState, "host", m.Name, "state", StateName(m.State), "blind", m.LogUnreachable,
				"address", m.Address, "incarnation", m.Incarnation)
		}
	}
	self := g.tracker.Self()
	if changed || len(members) != len(g.loggedMembers) || self.LogUnreachable != g.logUnreachable || len(g.unreachableSince) > 0 {
		g.logUnreachable = self.LogUnreachable
		g.rebuild()
	}
}

// rebuild recomputes the serving hosts. The caller holds mu or has exclusive access.
func (g *Gossiper) rebuild() {
	next := &servingHosts{knownHosts: 1}
	if self := g.tracker.Self(); self.State == tracker.Alive {
		next.members = append(next.members, self)
	}
	clear(g.loggedMembers)
	for _, m := range g.tracker.Members() {
		g.loggedMembers[m.Name] = m
		if m.State == tracker.Alive {
			next.members = append(next.members, m)
		}
		if m.State != tracker.Leaving {
			next.knownHosts++
		}
	}
	for _, m := range next.members {
		next.names = append(next.names, m.Name)
	}
	next.stable = g.stable(next.members)
	g.maxServing.Store(max(g.maxServing.Load(), int64(len(next.members))))
	g.serving.Store(next)
}

// StateName returns the name of s for logs and APIs.
func StateName(s tracker.State) string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[min(s, tracker.Dead)]
}

func (g *Gossiper) send(ctx context.Context, s tracker.Send) {
	_ = messenger.Notify(ctx, g.options.Messenger, s.To, kindGossip, encoder.Gossip(s.Message))
}

func (g *Gossiper) handleGossip(ctx context.Context, w wire.Gossip) (wire.Empty, error) {
	m, err := encoder.TrackerMessage(w)
	if err != nil {
		return wire.Empty{}, err
	}
	g.mu.Lock()
	g.tracker.SetRules(g.options.Rules.Version())
	answers := g.tracker.Receive(g.options.Clock.Now(), m)
	g.logChanges()
	g.mu.Unlock()
	for _, a := range answers {
		g.send(ctx, a)
	}
	g.pushRules(ctx, m)
	return wire.Empty{}, nil
}

// pushRules sends the rule file to a host that has an older version, so that rules propagate while the log is unavailable.
func (g *Gossiper) pushRules(ctx context.Context, m tracker.Message) {
	f := g.options.Rules.File()
	if m.Rules >= f.Version {
		return
	}
	_ = messenger.Notify(ctx, g.options.Messenger, m.From.Address, kindRules, wire.RulesPush{Version: f.Version, Text: f.Text, Author: f.Author})
}

func (g *Gossiper) handleRules(_ context.Context, w wire.RulesPush) (wire.Empty, error) {
	g.options.Rules.Offer(publisher.File{Version: w.Version, Text: w.Text, Author: w.Author})
	return wire.Empty{}, nil
}

func (g *Gossiper) handleVersion(context.Context, wire.RulesVersionRequest) (wire.RulesVersionResponse, error) {
	return wire.RulesVersionResponse{Version: g.options.Rules.Version(), Hosts: encoder.Hosts(g.Members())}, nil
}

// QueryVersion requests a host's version of the rules and the hosts that it knows.
func (g *Gossiper) QueryVersion(ctx context.Context, m tracker.Member) (uint64, []tracker.Member, error) {
	have, err := messenger.Call[wire.RulesVersionRequest, wire.RulesVersionResponse](ctx, g.options.Messenger, m.Address, kindVersion, wire.RulesVersionRequest{})
	if err != nil {
		return 0, nil, err
	}
	hosts, err := encoder.Members(have.Hosts)
	return have.Version, hosts, err
}

const (
	// joinTimeout is how long a host tries to join through a seed before it serves without having joined.
	joinTimeout = time.Second
	// joinRetryInterval is the time between two attempts to join through a seed.
	joinRetryInterval = 20 * time.Millisecond
)

// Join announces this host to one of its seeds, so that a host does not serve before the others know it. It gives up
// after joinTimeout, because seeds may be stale or start later.
func (g *Gossiper) Join(ctx context.Context) {
	seeds := slices.DeleteFunc(slices.Clone(g.options.Seeds), func(a netip.AddrPort) bool { return a == g.options.Self.Address })
	if len(seeds) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	joined := make(chan struct{}, len(seeds))
	for _, seed := range seeds {
		go func() {
			if g.joinSeed(ctx, seed) {
				joined <- struct{}{}
			}
		}()
	}
	select {
	case <-joined:
	case <-ctx.Done():
		eventlogger.Warn(g.options.Logs, eventlogger.SeedsUnreachable, "seeds", len(seeds), "after", joinTimeout)
	}
}

// joinSeed retries until the seed has accepted this host or ctx is done.
func (g *Gossiper) joinSeed(ctx context.Context, seed netip.AddrPort) bool {
	message := encoder.Gossip(tracker.Message{From: g.Self(), Rules: g.options.Rules.Version()})
	for ctx.Err() == nil {
		if _, err := messenger.Call[wire.Gossip, wire.Empty](ctx, g.options.Messenger, seed, kindGossip, message); err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-g.options.Clock.After(joinRetryInterval):
		}
	}
	return false
}

// Leave announces to the other hosts that this host is leaving.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.tracker.Leave()
	g.rebuild()
	members := g.tracker.Members()
	message := tracker.Message{From: g.tracker.Self(), Rules: g.options.Rules.Version()}
	g.mu.Unlock()
	for _, m := range members {
		if m.State != tracker.Dead {
			go g.send(ctx, tracker.Send{To: m.Address, Message: message})
		}
	}
}

// Self returns this host's own entry.
func (g *Gossiper) Self() tracker.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Self()
}

// KnownHosts returns the number of other hosts in the membership list, including dead ones.
func (g *Gossiper) KnownHosts() int { return len(g.Members()) }

// AddSeeds adds addresses at which other hosts may be reached.
func (g *Gossiper) AddSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.AddSeeds(seeds)
}

// Members returns all other hosts, including dead ones.
func (g *Gossiper) Members() []tracker.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Members()
}

// Serving returns the hosts that are alive, including this host.
func (g *Gossiper) Serving() []tracker.Member { return slices.Clone(g.serving.Load().members) }

// Unreachable returns the number of known hosts that are not serving, without those that are leaving.
func (g *Gossiper) Unreachable() int {
	s := g.serving.Load()
	return max(0, s.knownHosts-len(s.members))
}

// HasMajority reports whether more than half of the known hosts are alive. Dead hosts count as known until the tracker
// removes them. A host that has reached none of its seeds yet has no majority.
func (g *Gossiper) HasMajority() bool {
	s := g.serving.Load()
	return !g.hasReachedNoSeed(s) && 2*len(s.members) > s.knownHosts
}

func (g *Gossiper) hasReachedNoSeed(s *servingHosts) bool {
	return s.knownHosts == 1 && slices.ContainsFunc(g.options.Seeds, func(a netip.AddrPort) bool { return a != g.options.Self.Address })
}

// MaxServing returns the highest number of hosts that served at the same time, 0 for a host that has reached none of its
// seeds yet. It divides what all hosts share: a host that is cut off must not use the shares of those that it no longer sees.
func (g *Gossiper) MaxServing() int {
	if n := g.maxServing.Load(); n > 1 || !g.hasReachedNoSeed(g.serving.Load()) {
		return int(n)
	}
	return 0
}

// Owner returns the host that owns key, and whether it is this host.
func (g *Gossiper) Owner(key string) (tracker.Member, bool) {
	s := g.serving.Load()
	owner := ranker.Owner(key, s.names)
	for _, m := range s.members {
		if m.Name == owner {
			return m, m.Name == g.options.Self.Name
		}
	}
	return g.Self(), true
}
