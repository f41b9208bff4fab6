// Package gossiper keeps the list of hosts by exchanging heartbeats with others.
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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// The kinds of messages.
const (
	kindGossip = "gossip"
	kindRules  = "rules"
	kindAsk    = "version"
)

// ticks is how often the tracker is looked at in a period: an answer that is missing is noticed that much sooner.
const ticks = 5

// Rules is the versioned file that hosts pass on to each other. The version is 0 before there is one.
type Rules interface {
	Version() uint64
	File() publisher.File
	Offer(publisher.File)
}

// Options are the settings of a Gossiper.
type Options struct {
	Self      tracker.Member
	Seeds     []netip.AddrPort
	Config    tracker.Config
	Messenger *messenger.Messenger
	Rules     Rules
	// IsBlind tells whether this host is out of touch with the platform's log; nil stands for never.
	IsBlind func() bool
	Random  *rand.Rand
	Clock   clockwork.Clock
	Logs    hclog.Logger
}

// Gossiper runs a tracker.
type Gossiper struct {
	options Options
	mu      sync.Mutex
	tracker *tracker.Tracker
	states  map[string]tracker.Member
	blind   bool
	// noted is the number of the tracker's changes at the last note.
	noted   uint64
	serving atomic.Pointer[serving]
	// passed are hosts that others passed over as homes, by when that became due.
	passed map[string]time.Time
	done   chan struct{}
}

// serving are the hosts that homes are chosen from. It does not change; each change of the list makes a new one.
type serving struct {
	members []tracker.Member
	names   []string
	// known is the number of hosts that are remembered and do not leave, the dead ones and the own one included.
	known int
	// steady are those of the members that may be homes with much to learn.
	steady map[string]tracker.Member
}

// New returns a Gossiper and takes the kinds of messages it answers.
func New(o Options) *Gossiper {
	g := &Gossiper{
		options: o,
		tracker: tracker.New(o.Config, o.Self, o.Seeds, o.Random),
		states:  make(map[string]tracker.Member),
		passed:  make(map[string]time.Time),
		done:    make(chan struct{}),
	}
	g.rebuild()
	messenger.Handle(o.Messenger, kindGossip, g.receive)
	messenger.Handle(o.Messenger, kindRules, g.takeRules)
	messenger.Handle(o.Messenger, kindAsk, g.tellVersion)
	return g
}

// Done is closed once Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Run sends heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	ticker := g.options.Clock.NewTicker(g.options.Config.Period / ticks)
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
	if g.options.IsBlind != nil {
		g.tracker.SetBlind(g.options.Clock.Now(), g.options.IsBlind())
	}
	sends := g.tracker.Tick(g.options.Clock.Now())
	g.note()
	return sends
}

// note logs hosts that changed: their state, or, if they started anew, their address. The caller holds mu.
func (g *Gossiper) note() {
	changes := g.tracker.Changes()
	if changes == g.noted && len(g.passed) == 0 {
		return
	}
	g.noted = changes
	changed := false
	members := g.tracker.Members()
	for _, m := range members {
		if old, ok := g.states[m.Name]; !ok || old != m {
			g.states[m.Name] = m
			changed = true
			eventer.Info(g.options.Logs, eventer.HostState, "host", m.Name, "state", StateName(m.State), "blind", m.Blind,
				"address", m.Address, "incarnation", m.Incarnation)
		}
	}
	self := g.tracker.Self()
	if changed || len(members) != len(g.states) || self.Blind != g.blind || len(g.passed) > 0 {
		g.blind = self.Blind
		g.rebuild()
	}
}

// rebuild takes the list of serving hosts anew. The caller holds mu, or is the only one.
func (g *Gossiper) rebuild() {
	next := &serving{known: 1}
	if self := g.tracker.Self(); self.State == tracker.Alive {
		next.members = append(next.members, self)
	}
	clear(g.states)
	for _, m := range g.tracker.Members() {
		g.states[m.Name] = m
		if m.State == tracker.Alive {
			next.members = append(next.members, m)
		}
		if m.State != tracker.Leaving {
			next.known++
		}
	}
	for _, m := range next.members {
		next.names = append(next.names, m.Name)
	}
	next.steady = g.steady(next.members)
	g.serving.Store(next)
}

// StateName returns the word for s.
func StateName(s tracker.State) string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[min(s, tracker.Dead)]
}

func (g *Gossiper) send(ctx context.Context, s tracker.Send) {
	_ = messenger.Tell(ctx, g.options.Messenger, s.To, kindGossip, encoder.Gossip(s.Message))
}

func (g *Gossiper) receive(ctx context.Context, w wire.Gossip) (wire.Empty, error) {
	m, err := encoder.TrackerMessage(w)
	if err != nil {
		return wire.Empty{}, err
	}
	g.mu.Lock()
	g.tracker.SetRules(g.options.Rules.Version())
	answers := g.tracker.Receive(g.options.Clock.Now(), m)
	g.note()
	g.mu.Unlock()
	for _, a := range answers {
		g.send(ctx, a)
	}
	g.push(ctx, m)
	return wire.Empty{}, nil
}

// push sends the rule file to a host that has an older one, so that rules spread while the log is out.
func (g *Gossiper) push(ctx context.Context, m tracker.Message) {
	f := g.options.Rules.File()
	if m.Rules >= f.Version {
		return
	}
	_ = messenger.Tell(ctx, g.options.Messenger, m.From.Address, kindRules, wire.RulesPush{Version: f.Version, Text: f.Text, Author: f.Author})
}

func (g *Gossiper) takeRules(_ context.Context, w wire.RulesPush) (wire.Empty, error) {
	g.options.Rules.Offer(publisher.File{Version: w.Version, Text: w.Text, Author: w.Author})
	return wire.Empty{}, nil
}

func (g *Gossiper) tellVersion(context.Context, wire.RulesVersionRequest) (wire.RulesVersionResponse, error) {
	return wire.RulesVersionResponse{Version: g.options.Rules.Version(), Hosts: encoder.Hosts(g.Members())}, nil
}

// AskVersion asks a host for its version of the rules and for the hosts that it knows.
func (g *Gossiper) AskVersion(ctx context.Context, m tracker.Member) (uint64, []tracker.Member, error) {
	have, err := messenger.Call[wire.RulesVersionRequest, wire.RulesVersionResponse](ctx, g.options.Messenger, m.Address, kindAsk, wire.RulesVersionRequest{})
	if err != nil {
		return 0, nil, err
	}
	hosts, err := encoder.Members(have.Hosts)
	return have.Version, hosts, err
}

const (
	// joinTimeout is how long a host tries to make itself known to a seed before it serves all the same.
	joinTimeout = time.Second
	// joinPause is the time between two tries.
	joinPause = 20 * time.Millisecond
)

// Join makes this host known to one of its seeds, so that no host serves of which the others know nothing. It gives up
// after joinTimeout: seeds may be stale or start later.
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
			if g.joinAt(ctx, seed) {
				joined <- struct{}{}
			}
		}()
	}
	select {
	case <-joined:
	case <-ctx.Done():
		eventer.Warn(g.options.Logs, eventer.SeedsUnreachable, "seeds", len(seeds), "after", joinTimeout)
	}
}

// joinAt tries until the seed has taken this host in or ctx ends.
func (g *Gossiper) joinAt(ctx context.Context, seed netip.AddrPort) bool {
	hello := encoder.Gossip(tracker.Message{From: g.Self(), Rules: g.options.Rules.Version()})
	for ctx.Err() == nil {
		if _, err := messenger.Call[wire.Gossip, wire.Empty](ctx, g.options.Messenger, seed, kindGossip, hello); err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-g.options.Clock.After(joinPause):
		}
	}
	return false
}

// Leave tells others that this host leaves.
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

// Self returns the own host.
func (g *Gossiper) Self() tracker.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Self()
}

// Met returns the number of other hosts that were met.
func (g *Gossiper) Met() int { return len(g.Members()) }

// AddSeeds adds addresses of other hosts to try.
func (g *Gossiper) AddSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.AddSeeds(seeds)
}

// Members returns all other hosts.
func (g *Gossiper) Members() []tracker.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Members()
}

// Serving returns the hosts that are not known to leave or to be out of reach, the own one included.
func (g *Gossiper) Serving() []tracker.Member { return slices.Clone(g.serving.Load().members) }

// HasMajority tells whether more than half of the hosts that are known, the dead ones too until they are forgotten, are
// in touch. A host that has met none of its seeds yet is not in touch.
func (g *Gossiper) HasMajority() bool {
	s := g.serving.Load()
	if s.known == 1 && slices.ContainsFunc(g.options.Seeds, func(a netip.AddrPort) bool { return a != g.options.Self.Address }) {
		return false
	}
	return 2*len(s.members) > s.known
}

// Home returns the host that serves key for all, and whether it is the own one.
func (g *Gossiper) Home(key string) (tracker.Member, bool) {
	s := g.serving.Load()
	home := ranker.Home(key, s.names)
	for _, m := range s.members {
		if m.Name == home {
			return m, m.Name == g.options.Self.Name
		}
	}
	return g.Self(), true
}
