// Package claimer decides which claim of an idempotency key may run its call.
//
// Every verdict is a function of the prefix of the stream and is final at the offset of the claim, so all readers agree
// regardless of clocks, leases and membership. A host runs a call only after it has read back its own claim and found
// that the claim has won.
package claimer

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// Digest is the first 16 bytes of a SHA-256.
type Digest [16]byte

// ID identifies one claim. Incarnation differs for every start of a host.
type ID struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Kind is the type of an Entry.
type Kind uint8

// Kinds of entries; the values are stored in the log.
const (
	// Claim requests the key.
	Claim Kind = iota + 1
	// Release states that the host of the claim has not run the call and never will.
	Release
	// Done states that the call of the claim has ended with Status.
	Done
)

// Entry is one event of a claim. Fingerprint is a digest of the body of the call; Status is an HTTP status.
type Entry struct {
	Kind        Kind
	ID          ID
	Key         Digest
	Fingerprint Digest
	Status      int
}

// Holding is the state of a claimed key. At is the time of the claim by the log's clock.
type Holding struct {
	Key         Digest
	ID          ID
	Fingerprint Digest
	At          time.Time
	Done        bool
	Status      int
}

// Released is a release whose claim may still arrive. At is the time of the release by the log's clock.
type Released struct {
	ID ID
	At time.Time
}

// Verdict is the result of a claim.
type Verdict uint8

// Verdicts on a claim.
const (
	// Won allows the host of the claim to run the call.
	Won Verdict = iota + 1
	// Lost forbids it: another claim holds the key, or the claim was released before it arrived.
	Lost
	// Mismatch forbids it: the key is held for a call with another body.
	Mismatch
)

// Outcome is a verdict and the claim that holds the key. Holder is zero if the claim lost to its own release.
type Outcome struct {
	Verdict Verdict
	Holder  Holding
}

// Payload is the content of one log record: a list of entries, or one part of a checkpoint.
type Payload struct {
	Entries    []Entry
	Checkpoint *Checkpoint
}

// Ledger is the state of one stream of claims. It is not safe for concurrent use.
type Ledger struct {
	retention time.Duration
	now       time.Time
	keys      map[Digest]Holding
	released  map[ID]time.Time
	// expiry lists keys and releases by age; the first ones, as counted by expired, are already dropped.
	expiry           []expiry
	expired          int
	watched          map[ID]*Outcome
	partial          partialCheckpoint
	checkpointOffset uint64
}

type expiry struct {
	at  time.Time
	key Digest
	id  ID
}

var _ replayer.State[Payload] = (*Ledger)(nil)

// NewLedger returns an empty Ledger that drops a key once retention has passed since its claim, by the log's clock.
func NewLedger(retention time.Duration) *Ledger {
	l := &Ledger{retention: retention, watched: make(map[ID]*Outcome)}
	l.Reset()
	return l
}

// Reset clears the ledger. Watched claims stay watched.
func (l *Ledger) Reset() {
	l.now = time.Time{}
	l.keys = make(map[Digest]Holding)
	l.released = make(map[ID]time.Time)
	l.expiry = nil
	l.expired = 0
	l.partial = partialCheckpoint{}
	l.checkpointOffset = 0
}

// Watch retains the verdict of claim id once its entry is applied.
func (l *Ledger) Watch(id ID) { l.watched[id] = nil }

// Outcome returns the outcome of a watched claim; false if its entry has not been applied yet.
func (l *Ledger) Outcome(id ID) (Outcome, bool) {
	o := l.watched[id]
	if o == nil {
		return Outcome{}, false
	}
	return *o, true
}

// Forget stops watching claim id and drops its outcome.
func (l *Ledger) Forget(id ID) { delete(l.watched, id) }

// Holder returns the holding of key, false if the key is not held.
func (l *Ledger) Holder(key Digest) (Holding, bool) {
	h, ok := l.keys[key]
	return h, ok
}

// Len returns the number of held keys.
func (l *Ledger) Len() int { return len(l.keys) }

// CheckpointOffset returns the offset up to which the newest complete checkpoint covers the stream.
func (l *Ledger) CheckpointOffset() uint64 { return l.checkpointOffset }

// Apply applies one record and drops what has expired by its time.
func (l *Ledger) Apply(r replayer.Record[Payload]) {
	if r.At.After(l.now) {
		l.now = r.At
	}
	l.expire()
	if c := r.Payload.Checkpoint; c != nil && c.Part == c.Parts-1 && c.Upto > l.checkpointOffset {
		l.checkpointOffset = c.Upto
	}
	for _, e := range r.Payload.Entries {
		l.apply(e)
	}
}

func (l *Ledger) apply(e Entry) {
	switch e.Kind {
	case Claim:
		l.claim(e)
	case Release:
		l.release(e)
	case Done:
		l.done(e)
	}
}

func (l *Ledger) claim(e Entry) {
	o := l.decide(e)
	if _, ok := l.watched[e.ID]; ok && l.watched[e.ID] == nil {
		l.watched[e.ID] = &o
	}
}

func (l *Ledger) decide(e Entry) Outcome {
	if _, ok := l.released[e.ID]; ok {
		return Outcome{Verdict: Lost}
	}
	h, held := l.keys[e.Key]
	switch {
	case held && h.ID == e.ID:
		return Outcome{Verdict: Won, Holder: h}
	case held && h.Fingerprint != e.Fingerprint:
		return Outcome{Verdict: Mismatch, Holder: h}
	case held:
		return Outcome{Verdict: Lost, Holder: h}
	}
	h = Holding{Key: e.Key, ID: e.ID, Fingerprint: e.Fingerprint, At: l.now}
	l.hold(h)
	return Outcome{Verdict: Won, Holder: h}
}

func (l *Ledger) hold(h Holding) {
	l.keys[h.Key] = h
	l.expiry = append(l.expiry, expiry{at: h.At, key: h.Key, id: h.ID})
}

func (l *Ledger) release(e Entry) {
	l.releaseAt(Released{ID: e.ID, At: l.now})
	if h, ok := l.keys[e.Key]; ok && h.ID == e.ID && !h.Done {
		delete(l.keys, e.Key)
	}
}

func (l *Ledger) releaseAt(r Released) {
	l.released[r.ID] = r.At
	l.expiry = append(l.expiry, expiry{at: r.At, id: r.ID})
}

func (l *Ledger) done(e Entry) {
	h, ok := l.keys[e.Key]
	if !ok || h.ID != e.ID {
		return
	}
	h.Done = true
	h.Status = e.Status
	l.keys[e.Key] = h
}

func (l *Ledger) expire() {
	oldest := l.now.Add(-l.retention)
	for l.expired < len(l.expiry) && l.expiry[l.expired].at.Before(oldest) {
		l.drop(l.expiry[l.expired])
		l.expired++
	}
	if l.expired > len(l.expiry)/2 {
		l.expiry = append([]expiry(nil), l.expiry[l.expired:]...)
		l.expired = 0
	}
}

func (l *Ledger) drop(x expiry) {
	if at, ok := l.released[x.id]; ok && !at.After(x.at) {
		delete(l.released, x.id)
	}
	if h, ok := l.keys[x.key]; ok && h.ID == x.id {
		delete(l.keys, x.key)
	}
}
