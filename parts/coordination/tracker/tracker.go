// Package tracker maintains the membership list of a group of hosts by gossip, with suspicion before removal as in SWIM.
//
// Each period a host pings one other host. Member updates are piggybacked on pings and answers, so the traffic of a host
// does not grow with the size of the group. Changes of known members are sent before joins, and to a few additional
// hosts at once: while a large fleet starts, a failure would otherwise queue behind hundreds of joins. The list is
// only a hint and may be wrong or outdated, so no guarantee may depend on it.
package tracker

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the membership state of a host. A higher state replaces a lower one of the same incarnation.
type State uint8

// States in ascending order of precedence.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Member is one host. A host raises its Incarnation to refute a state that others have assigned to it.
type Member struct {
	Name        string
	Address     netip.AddrPort
	Callers     netip.AddrPort
	DataCentre  string
	Incarnation uint64
	State       State
	// LogUnreachable is set while the host cannot reach the platform's log, so that its endpoint data may be stale.
	LogUnreachable bool
	// Power is the CPU share of the host in thousandths of a core, 0 if unknown.
	Power int
}

// Message is a ping or its answer. Rules is the version of the rule file that the sender has.
type Message struct {
	Answer  bool
	From    Member
	Rules   uint64
	Updates []Member
}

// Send is an outgoing message.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Config holds the timeouts and limits of a Tracker.
type Config struct {
	// Interval is the time between pings.
	Interval time.Duration
	// AnswerTimeout is how long to wait for the answer to a ping.
	AnswerTimeout time.Duration
	// SuspicionTimeout is how long a suspected host may refute the suspicion before it is declared dead.
	SuspicionTimeout time.Duration
	// Retention is how long dead members stay in the list.
	Retention time.Duration
	// MaxUpdates is the usual limit on the number of member updates in one message.
	MaxUpdates int
}

const (
	// urgentTransmissions is how often a change is sent urgently before it spreads by regular pings alone.
	urgentTransmissions = 3
	// urgentTargets is the number of additional hosts that are pinged, twice a period, while a change is urgent.
	urgentTargets = 3
	// urgentUpdateFactor times MaxUpdates is the limit on updates in one message while there are changes to send.
	urgentUpdateFactor = 10
)

// entry is a member with the local bookkeeping for it.
type entry struct {
	Member
	since         time.Time
	transmissions int
	// changed is set for members that were not alive when first seen, or that have changed since.
	changed      bool
	rulesVersion uint64
	lastReceived time.Time
}

// Tracker is the local view of the membership. It is not safe for concurrent use.
type Tracker struct {
	cfg          Config
	self         Member
	rulesVersion uint64
	seeds        []netip.AddrPort
	random       *rand.Rand
	members      map[string]*entry
	pingOrder    []string
	pending      map[string]ping
	// lastPings is when the last regular pings were sent.
	lastPings time.Time
	// changes counts the modifications of members.
	changes uint64
}

// ping is a ping whose answer is outstanding.
type ping struct {
	deadline time.Time
	// isRetry is set for the second ping to a host, which is sent because a single message may be lost.
	isRetry bool
}

// New returns a Tracker whose list is empty; seeds are the addresses through which it joins the group.
func New(cfg Config, self Member, seeds []netip.AddrPort, random *rand.Rand) *Tracker {
	return &Tracker{
		cfg: cfg, self: self, seeds: seeds, random: random,
		members: make(map[string]*entry),
		pending: make(map[string]ping),
	}
}

// SetRules sets the version of the rule file that this host announces.
func (t *Tracker) SetRules(version uint64) { t.rulesVersion = version }

// SetLogUnreachable records whether the local host can reach the platform's log. A change raises the incarnation, so that
// it replaces the state that other hosts hold. A host that reaches the log again gets an incarnation as if it had just
// started: its responsibilities have moved to other hosts and must stay there.
func (t *Tracker) SetLogUnreachable(now time.Time, unreachable bool) {
	if t.self.LogUnreachable == unreachable {
		return
	}
	t.self.LogUnreachable = unreachable
	t.self.Incarnation++
	if !unreachable {
		t.self.Incarnation = max(t.self.Incarnation, uint64(now.UnixNano()))
	}
}

// Leave marks the local host as leaving.
func (t *Tracker) Leave() { t.self.State = Leaving }

// AddSeeds adds addresses through which other hosts may be found; known ones are ignored.
func (t *Tracker) AddSeeds(seeds []netip.AddrPort) {
	for _, s := range seeds {
		if !slices.Contains(t.seeds, s) {
			t.seeds = append(t.seeds, s)
		}
	}
}

// Self returns the local host, which Members leaves out.
func (t *Tracker) Self() Member { return t.self }

// Generation returns a number that changes whenever the members or the local host may have changed.
func (t *Tracker) Generation() uint64 { return t.changes + t.self.Incarnation }

// Members returns the other hosts sorted by name, including dead ones.
func (t *Tracker) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Rules returns the version of the rule file that host name last announced, 0 if unknown.
func (t *Tracker) Rules(name string) uint64 {
	if e := t.members[name]; e != nil {
		return e.rulesVersion
	}
	return 0
}

// Tick applies timeouts and returns the pings that are due. It is called several times in a period.
func (t *Tracker) Tick(now time.Time) []Send {
	sends := t.expirePings(now)
	t.expireStates(now)
	interval, isUrgent := t.cfg.Interval, len(sends) > 0 || t.hasUrgent()
	if isUrgent {
		interval /= 2
	}
	if now.Sub(t.lastPings) < interval {
		return sends
	}
	t.lastPings = now
	targets := []string{t.nextTarget(false)}
	if isUrgent {
		for range urgentTargets {
			targets = append(targets, t.nextTarget(true))
		}
	}
	for _, name := range targets {
		if _, isPending := t.pending[name]; name != "" && !isPending {
			sends = append(sends, t.ping(now, name, false))
		}
	}
	if seed, ok := t.unknownSeed(); ok {
		sends = append(sends, Send{To: seed, Message: t.message(false)})
	}
	return sends
}

// Receive merges a message into the list and returns the answer if the message is a ping.
func (t *Tracker) Receive(now time.Time, m Message) []Send {
	known := t.members[m.From.Name] != nil
	t.merge(now, m.From)
	for _, u := range m.Updates {
		t.merge(now, u)
	}
	if e := t.members[m.From.Name]; e != nil {
		e.rulesVersion = m.Rules
		e.lastReceived = now
		delete(t.pending, m.From.Name)
	}
	if m.Answer {
		return nil
	}
	answer := t.message(true)
	if !known {
		answer.Updates = t.presentMembers()
	}
	if e := t.members[m.From.Name]; e != nil && e.State != Alive {
		answer.Updates = append(answer.Updates, e.Member)
	}
	return []Send{{To: m.From.Address, Message: answer}}
}

func (t *Tracker) presentMembers() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return m.State == Dead })
}

func (t *Tracker) ping(now time.Time, name string, isRetry bool) Send {
	t.pending[name] = ping{deadline: now.Add(t.cfg.AnswerTimeout), isRetry: isRetry}
	return Send{To: t.members[name].Address, Message: t.message(false)}
}

// expirePings suspects the hosts that have answered neither of two pings, and returns the second pings.
func (t *Tracker) expirePings(now time.Time) []Send {
	var overdue []string
	for name, p := range t.pending {
		if !now.Before(p.deadline) {
			overdue = append(overdue, name)
		}
	}
	slices.Sort(overdue)
	var sends []Send
	for _, name := range overdue {
		p := t.pending[name]
		delete(t.pending, name)
		e := t.members[name]
		switch {
		case e == nil || (e.State != Alive && e.State != Leaving):
		case !p.isRetry:
			sends = append(sends, t.ping(now, name, true))
		default:
			t.suspect(e, now)
			t.changes++
		}
	}
	return sends
}

// suspect declares a Leaving host dead at once: it is expected to stop answering.
func (t *Tracker) suspect(e *entry, now time.Time) {
	next := Suspect
	if e.State == Leaving {
		next = Dead
	}
	e.set(next, now)
}

func (e *entry) set(s State, now time.Time) {
	e.State = s
	e.since = now
	e.transmissions = 0
	e.changed = true
}

// hasUrgent reports whether a change has been sent to few hosts so far.
func (t *Tracker) hasUrgent() bool {
	for _, e := range t.members {
		if e.changed && e.transmissions < urgentTransmissions {
			return true
		}
	}
	return false
}

func (t *Tracker) expireStates(now time.Time) {
	for name, e := range t.members {
		age := now.Sub(e.since)
		if e.State == Suspect && age >= t.cfg.SuspicionTimeout {
			e.set(Dead, now)
			t.changes++
		}
		if e.State == Dead && age >= t.cfg.Retention {
			delete(t.members, name)
			t.changes++
		}
	}
}

// nextTarget iterates over the members in random order, each once a round. New members are inserted at a random position
// of the current round, so that none waits longer than others for its first ping.
func (t *Tracker) nextTarget(isAlive bool) string {
	isTarget := func(e *entry) bool {
		return e != nil && e.State != Dead && (!isAlive || e.State != Suspect)
	}
	for len(t.pingOrder) > 0 {
		name := t.pingOrder[0]
		t.pingOrder = t.pingOrder[1:]
		if isTarget(t.members[name]) {
			return name
		}
	}
	for name, e := range t.members {
		if isTarget(e) {
			t.pingOrder = append(t.pingOrder, name)
		}
	}
	slices.Sort(t.pingOrder)
	t.random.Shuffle(len(t.pingOrder), func(i, j int) { t.pingOrder[i], t.pingOrder[j] = t.pingOrder[j], t.pingOrder[i] })
	if len(t.pingOrder) == 0 {
		return ""
	}
	name := t.pingOrder[0]
	t.pingOrder = t.pingOrder[1:]
	return name
}

// unknownSeed returns a random seed if it is not a live member, so that the sides of a network partition merge again.
func (t *Tracker) unknownSeed() (netip.AddrPort, bool) {
	if len(t.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	seed := t.seeds[t.random.IntN(len(t.seeds))]
	if seed == t.self.Address {
		return netip.AddrPort{}, false
	}
	for _, e := range t.members {
		if e.Address == seed && e.State != Dead {
			return netip.AddrPort{}, false
		}
	}
	return seed, true
}

func (t *Tracker) message(answer bool) Message {
	return Message{Answer: answer, From: t.self, Rules: t.rulesVersion, Updates: t.updates()}
}

// updates returns the least transmitted changes, then the least transmitted other members. A member is left out once it
// has been transmitted often enough to reach all hosts, which takes a number of times logarithmic in the group size.
func (t *Tracker) updates() []Member {
	maxTransmissions := 3 * bits.Len(uint(len(t.members)+1))
	var candidates []*entry
	changes := 0
	for _, e := range t.members {
		if e.transmissions < maxTransmissions {
			candidates = append(candidates, e)
			if e.changed {
				changes++
			}
		}
	}
	slices.SortFunc(candidates, compareUrgency)
	maxCount := max(t.cfg.MaxUpdates, min(changes, urgentUpdateFactor*t.cfg.MaxUpdates))
	candidates = candidates[:min(len(candidates), maxCount)]
	updates := make([]Member, 0, len(candidates))
	for _, e := range candidates {
		e.transmissions++
		updates = append(updates, e.Member)
	}
	return updates
}

// compareUrgency orders changes before joins, and then by the number of transmissions.
func compareUrgency(a, b *entry) int {
	switch {
	case a.changed && !b.changed:
		return -1
	case b.changed && !a.changed:
		return 1
	case a.transmissions != b.transmissions:
		return a.transmissions - b.transmissions
	}
	return strings.Compare(a.Name, b.Name)
}

func (t *Tracker) merge(now time.Time, m Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	e := t.members[m.Name]
	if e == nil {
		// Dead members are added too, because older updates about them may still arrive.
		t.members[m.Name] = &entry{Member: m, since: now, changed: m.State != Alive}
		t.pingOrder = slices.Insert(t.pingOrder, t.random.IntN(len(t.pingOrder)+1), m.Name)
		t.changes++
		return
	}
	if m.Incarnation < e.Incarnation || (m.Incarnation == e.Incarnation && m.State <= e.State) {
		return
	}
	if m.State == Alive && e.State == Leaving && m.Incarnation == e.Incarnation {
		return
	}
	if m.Address != e.Address {
		delete(t.pending, m.Name) // the ping was sent to the old address
	}
	changed := e.changed || m.State != e.State || m.Address != e.Address
	e.Member = m
	e.set(m.State, now)
	e.changed = changed
	t.changes++
}

// refute raises the local incarnation if another host considers this one suspect or dead.
func (t *Tracker) refute(m Member) {
	if m.Incarnation < t.self.Incarnation || m.State == t.self.State || m.State == Alive {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
}
