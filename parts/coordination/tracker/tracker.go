// Package tracker keeps the list of live hosts by sparse heartbeats with suspicion before removal.
//
// Each period a host pings one other host; updates about members ride on the pings and answers, so the traffic of a
// host does not grow with their number. Changes of known members go before first sightings, and to a few more hosts at
// once: in a large fleet that starts, the news of a loss would otherwise queue behind hundreds of joins. The list is a
// hint: no promise may depend on it.
package tracker

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is what the list says of a host. A higher state replaces a lower one of the same incarnation.
type State uint8

// The states.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Member is one host. A host raises its Incarnation to contradict what is said of it.
type Member struct {
	Name        string
	Address     netip.AddrPort
	Callers     netip.AddrPort
	DataCentre  string
	Incarnation uint64
	State       State
	// Blind hosts do not reach the platform's log: what they know of endpoints may be old.
	LogUnreachable bool
	// Power is the processor share of the host in thousandths of a core, 0 if it is not known.
	Power int
}

// Message is a ping or its answer. Rules is the sender's version of the rule file.
type Message struct {
	Answer  bool
	From    Member
	Rules   uint64
	Updates []Member
}

// Send is a message to be sent.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Config holds the times of a Tracker.
type Config struct {
	// Period is the time between pings.
	Period time.Duration
	// AnswerTimeout is how long an answer to a ping is waited for.
	AnswerTimeout time.Duration
	// SuspicionTimeout is how long a suspect may contradict before it is dead.
	SuspicionTimeout time.Duration
	// Retention is how long the dead are remembered.
	Retention time.Duration
	// Updates is the number of members told in one message.
	MaxUpdates int
}

const (
	// eagerTellings is how often a change is told before it spreads by heartbeats alone.
	urgentTransmissions = 3
	// eagerHosts is the number of further hosts that are pinged, twice a period, while there are such changes.
	urgentTargets = 3
	// eagerUpdates is how many times as many changes as other updates ride on one message.
	urgentUpdateFactor = 10
)

// entry is a member with what this host remembers about it.
type entry struct {
	Member
	since         time.Time
	transmissions int
	// changed is set for losses, and for members that are no longer as they were first seen.
	changed      bool
	rulesVersion uint64
	lastReceived time.Time
}

// Tracker is the membership as one host sees it. It is not safe for concurrent use.
type Tracker struct {
	cfg          Config
	self         Member
	rulesVersion uint64
	seeds        []netip.AddrPort
	random       *rand.Rand
	members      map[string]*entry
	pingOrder    []string
	pending      map[string]ping
	// pinged is when the last regular pings were sent.
	lastPings time.Time
	// changes counts what was changed in members.
	changes uint64
}

// ping is one that waits for its answer.
type ping struct {
	deadline time.Time
	// again is set for the second one: a single message may be lost.
	isRetry bool
}

// New returns a Tracker that knows only its own host and the addresses of some others.
func New(cfg Config, self Member, seeds []netip.AddrPort, random *rand.Rand) *Tracker {
	return &Tracker{
		cfg: cfg, self: self, seeds: seeds, random: random,
		members: make(map[string]*entry),
		pending: make(map[string]ping),
	}
}

// SetRules sets the version of the rule file that this host tells others.
func (t *Tracker) SetRules(version uint64) { t.rulesVersion = version }

// SetBlind tells whether the own host reaches the platform's log. A change counts as a new incarnation, so that it
// replaces what others know. A host that sees again counts as one that has just started: what it was trusted with went to
// others, and is to stay there.
func (t *Tracker) SetLogUnreachable(now time.Time, blind bool) {
	if t.self.LogUnreachable == blind {
		return
	}
	t.self.LogUnreachable = blind
	t.self.Incarnation++
	if !blind {
		t.self.Incarnation = max(t.self.Incarnation, uint64(now.UnixNano()))
	}
}

// Leave marks the own host as leaving.
func (t *Tracker) Leave() { t.self.State = Leaving }

// AddSeeds adds addresses of other hosts to try.
func (t *Tracker) AddSeeds(seeds []netip.AddrPort) {
	for _, s := range seeds {
		if !slices.Contains(t.seeds, s) {
			t.seeds = append(t.seeds, s)
		}
	}
}

// Self returns the own host.
func (t *Tracker) Self() Member { return t.self }

// Changes returns a number that differs if members, or the own host, may have changed since.
func (t *Tracker) Generation() uint64 { return t.changes + t.self.Incarnation }

// Members returns the other hosts in order of their names, the dead ones too.
func (t *Tracker) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Rules returns the version of the rule file that host name was last heard to have.
func (t *Tracker) Rules(name string) uint64 {
	if e := t.members[name]; e != nil {
		return e.rulesVersion
	}
	return 0
}

// Tick moves the states on and returns the pings that are due. It is called several times in a period.
func (t *Tracker) Tick(now time.Time) []Send {
	sends := t.expirePings(now)
	t.expireStates(now)
	pause, isEager := t.cfg.Period, len(sends) > 0 || t.hasUrgent()
	if isEager {
		pause /= 2
	}
	if now.Sub(t.lastPings) < pause {
		return sends
	}
	t.lastPings = now
	targets := []string{t.nextTarget(false)}
	if isEager {
		for range urgentTargets {
			targets = append(targets, t.nextTarget(true))
		}
	}
	for _, name := range targets {
		if _, isWaiting := t.pending[name]; name != "" && !isWaiting {
			sends = append(sends, t.ping(now, name, false))
		}
	}
	if seed, ok := t.unknownSeed(); ok {
		sends = append(sends, Send{To: seed, Message: t.message(false)})
	}
	return sends
}

// Receive takes a message and returns the answer to it, if it asks for one.
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

func (t *Tracker) ping(now time.Time, name string, again bool) Send {
	t.pending[name] = ping{deadline: now.Add(t.cfg.AnswerTimeout), isRetry: again}
	return Send{To: t.members[name].Address, Message: t.message(false)}
}

// expireAnswers suspects the hosts that have answered neither of two pings, and returns the second pings.
func (t *Tracker) expirePings(now time.Time) []Send {
	var late []string
	for name, p := range t.pending {
		if !now.Before(p.deadline) {
			late = append(late, name)
		}
	}
	slices.Sort(late)
	var sends []Send
	for _, name := range late {
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

// suspect keeps Leaving hosts leaving: they are removed when they stop answering.
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

// hasEager tells whether a change was told to few hosts yet.
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

// nextTarget goes through the members in a random order, each once a round. New members take a random place in the round
// under way, so that no host waits for its first ping longer than others.
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

// unknownSeed keeps asking seeds that are not live members, so that two halves of a split find each other again.
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

// updates returns the changes told least often, then the other members told least often, as long as they have been told
// fewer times than a rumour needs.
func (t *Tracker) updates() []Member {
	limit := 3 * bits.Len(uint(len(t.members)+1))
	var fresh []*entry
	changes := 0
	for _, e := range t.members {
		if e.transmissions < limit {
			fresh = append(fresh, e)
			if e.changed {
				changes++
			}
		}
	}
	slices.SortFunc(fresh, compareUrgency)
	most := max(t.cfg.MaxUpdates, min(changes, urgentUpdateFactor*t.cfg.MaxUpdates))
	fresh = fresh[:min(len(fresh), most)]
	updates := make([]Member, 0, len(fresh))
	for _, e := range fresh {
		e.transmissions++
		updates = append(updates, e.Member)
	}
	return updates
}

// compareUrgency orders changes before first sightings, and what was told less often before the rest.
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
		// The lost are taken in, too: older news of them may be under way.
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
		delete(t.pending, m.Name) // the ping went to the old address
	}
	changed := e.changed || m.State != e.State || m.Address != e.Address
	e.Member = m
	e.set(m.State, now)
	e.changed = changed
	t.changes++
}

// contradict raises the own incarnation if others say that this host is suspect or dead.
func (t *Tracker) refute(m Member) {
	if m.Incarnation < t.self.Incarnation || m.State == t.self.State || m.State == Alive {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
}
