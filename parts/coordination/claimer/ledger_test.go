package claimer

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

var epoch = time.Unix(1_000_000, 0)

// A fixed seed makes the property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func key(n byte) Digest { return Digest{n} }

func id(host string, sequence uint64) ID { return ID{Host: host, Sequence: sequence} }

// feed applies entries as the next record, one second after the previous one.
func feed(rp *replayer.Replayer[Payload], entries ...Entry) {
	offset := rp.Next()
	rp.Feed(replayer.Record[Payload]{Offset: offset, At: epoch.Add(time.Duration(offset) * time.Second), Payload: Payload{Entries: entries}})
}

func TestClaimLosesToTheFirstOneAndStaysLostAfterItsRelease(t *testing.T) {
	l := NewLedger(time.Hour)
	rp := replayer.New[Payload](l)
	l.Watch(id("a", 1))
	l.Watch(id("b", 1))
	feed(rp, Entry{Kind: Claim, ID: id("a", 1), Key: key(1)}, Entry{Kind: Claim, ID: id("b", 1), Key: key(1)})
	feed(rp, Entry{Kind: Release, ID: id("a", 1), Key: key(1)})

	a, _ := l.Outcome(id("a", 1))
	b, _ := l.Outcome(id("b", 1))
	assert.Equal(t, Won, a.Verdict)
	assert.Equal(t, Lost, b.Verdict)
	_, held := l.Holder(key(1))
	assert.False(t, held)
}

func TestClaimLosesToItsOwnReleaseThatWasAppendedFirst(t *testing.T) {
	l := NewLedger(time.Hour)
	rp := replayer.New[Payload](l)
	l.Watch(id("a", 1))
	feed(rp, Entry{Kind: Release, ID: id("a", 1), Key: key(1)})
	feed(rp, Entry{Kind: Claim, ID: id("a", 1), Key: key(1)})
	o, ok := l.Outcome(id("a", 1))
	assert.True(t, ok)
	assert.Equal(t, Lost, o.Verdict)
}

func TestClaimWithAnotherBodyIsAMismatch(t *testing.T) {
	l := NewLedger(time.Hour)
	rp := replayer.New[Payload](l)
	l.Watch(id("b", 1))
	feed(rp, Entry{Kind: Claim, ID: id("a", 1), Key: key(1), Fingerprint: Digest{1}})
	feed(rp, Entry{Kind: Claim, ID: id("b", 1), Key: key(1), Fingerprint: Digest{2}})
	o, _ := l.Outcome(id("b", 1))
	assert.Equal(t, Mismatch, o.Verdict)
}

func TestKeyIsDroppedOnlyAfterTheHorizon(t *testing.T) {
	l := NewLedger(3 * time.Second)
	rp := replayer.New[Payload](l)
	feed(rp, Entry{Kind: Claim, ID: id("a", 1), Key: key(1)})
	for range 3 {
		feed(rp)
	}
	_, held := l.Holder(key(1))
	assert.True(t, held)
	feed(rp)
	_, held = l.Holder(key(1))
	assert.False(t, held)
}

func TestReaderOfAnExpiredPrefixIsIncompleteWithoutACheckpoint(t *testing.T) {
	l := NewLedger(time.Hour)
	rp := replayer.New[Payload](l)
	rp.Restart(5)
	feed(rp, Entry{Kind: Claim, ID: id("a", 1), Key: key(1)})
	assert.False(t, rp.IsComplete())
}

// TestReadersAgreeFromAnyCheckpoint builds a random stream with checkpoints and compares a reader of the whole stream
// with one that starts at a random offset. A checkpoint is appended some records after it was taken.
func TestReadersAgreeFromAnyCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer := NewLedger(8 * time.Second)
		full := replayer.New[Payload](writer)
		var stream []replayer.Record[Payload]
		add := func(p Payload) {
			r := replayer.Record[Payload]{Offset: full.Next(), At: epoch.Add(time.Duration(full.Next()) * time.Second), Payload: p}
			stream = append(stream, r)
			full.Feed(r)
		}
		var taken []Checkpoint
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				taken = writer.Checkpoint(full.Next())
			case 1:
				for _, c := range taken {
					add(Payload{Checkpoint: &c})
				}
			default:
				add(Payload{Entries: []Entry{drawEntry(t)}})
			}
		}
		late := NewLedger(8 * time.Second)
		rp := replayer.New[Payload](late)
		from := rapid.IntRange(0, len(stream)).Draw(t, "oldest")
		rp.Restart(uint64(from))
		for _, r := range stream[from:] {
			rp.Feed(r)
		}
		if rp.IsComplete() {
			assert.Equal(t, writer.keys, late.keys)
			assert.Equal(t, writer.released, late.released)
		}
	})
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Kind: Kind(rapid.IntRange(1, 3).Draw(t, "entry")),
		ID:   id(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"), uint64(rapid.IntRange(1, 4).Draw(t, "sequence"))),
		Key:  key(byte(rapid.IntRange(1, 3).Draw(t, "key"))),
	}
}

// TestModelVerdicts replays random event sequences of the model in spec/claims.pml: the ledger and the model must agree
// on the winner at each claim, and no key may be run twice.
func TestModelVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(time.Hour)
		rp := replayer.New[Payload](l)
		var model []Entry
		runs := 0
		ids := []ID{id("a", 1), id("a", 2), id("b", 1), id("b", 2)}
		ran := make(map[ID]bool)
		released := make(map[ID]bool)
		claimed := make(map[ID]bool)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			i := rapid.SampledFrom(ids).Draw(t, "id")
			kind := Claim
			if rapid.Bool().Draw(t, "release") && !ran[i] {
				kind = Release
				released[i] = true
			} else if claimed[i] {
				continue
			}
			e := Entry{Kind: kind, ID: i, Key: key(1)}
			l.Watch(i)
			feed(rp, e)
			model = append(model, e)
			if kind != Claim {
				continue
			}
			claimed[i] = true
			o, _ := l.Outcome(i)
			assert.Equal(t, modelWinner(model) == i, o.Verdict == Won, fmt.Sprint(model))
			if o.Verdict == Won && !released[i] && rapid.Bool().Draw(t, "run") {
				ran[i] = true
				runs++
			}
		}
		assert.LessOrEqual(t, runs, 1)
	})
}

// modelWinner computes the winner as the model in spec/claims.pml does.
func modelWinner(entries []Entry) ID {
	var winner ID
	released := make(map[ID]bool)
	for _, e := range entries {
		switch {
		case e.Kind == Claim && winner == ID{} && !released[e.ID]:
			winner = e.ID
		case e.Kind == Release:
			released[e.ID] = true
			if winner == e.ID {
				winner = ID{}
			}
		}
	}
	return winner
}

func BenchmarkLedgerClaim(b *testing.B) {
	for _, held := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", held), func(b *testing.B) {
			l := NewLedger(24 * time.Hour)
			for i := range held {
				l.apply(Entry{Kind: Claim, ID: id("a", uint64(i)), Key: Digest{byte(i), byte(i >> 8), byte(i >> 16), 1}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				l.apply(Entry{Kind: Claim, ID: id("b", uint64(i)), Key: Digest{byte(i), byte(i >> 8), byte(i >> 16), 2}})
			}
		})
	}
}

func BenchmarkLedgerMemory(b *testing.B) {
	for _, held := range []int{10_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprintf("keys=%d", held), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := NewLedger(24 * time.Hour)
				for i := range held {
					l.apply(Entry{Kind: Claim, ID: id("a", uint64(i)), Key: Digest{byte(i), byte(i >> 8), byte(i >> 16), 1}})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "B/key")
				runtime.KeepAlive(l)
			}
		})
	}
}

// restore reports whether c completes a checkpoint.
func restore(l *Ledger, c Checkpoint) bool {
	_, ok := l.Restore(replayer.Record[Payload]{Payload: Payload{Checkpoint: &c}})
	return ok
}

// A damaged record of the log, which all hosts read, ended each of them.
func TestACheckpointWithInvalidPartNumbersIsIgnored(t *testing.T) {
	holding := Holding{ID: id("a", 1), Key: key(1), At: epoch}
	for _, c := range []Checkpoint{{Part: -1, Parts: 1}, {Part: 1, Parts: 1}, {Part: 0, Parts: 0}, {Part: 0, Parts: -1}} {
		l := NewLedger(time.Hour)
		l.hold(holding)
		assert.False(t, restore(l, c), "part %d of %d", c.Part, c.Parts)
		_, held := l.Holder(key(1))
		assert.True(t, held, "part %d of %d", c.Part, c.Parts)
	}
}

func TestPartsOfTwoCheckpointsOfOneStateAreNotMixed(t *testing.T) {
	l := NewLedger(time.Hour)
	assert.False(t, restore(l, Checkpoint{Part: 0, Parts: 3, Now: epoch}))
	assert.False(t, restore(l, Checkpoint{Part: 1, Parts: 2, Now: epoch}))
	assert.True(t, restore(l, Checkpoint{Part: 0, Parts: 2, Now: epoch, Holdings: []Holding{{ID: id("a", 1), Key: key(1), At: epoch}}}))
	_, held := l.Holder(key(1))
	assert.True(t, held)
}
