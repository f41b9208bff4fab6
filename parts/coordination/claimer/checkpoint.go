package claimer

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// PartEntries is the number of holdings and releases in one part of a checkpoint.
const PartEntries = 500

// Checkpoint is one part of the state before the record at offset Upto. Parts are numbered from 0. Now is the time of
// the ledger at that offset.
type Checkpoint struct {
	Upto     uint64
	Now      time.Time
	Part     int
	Parts    int
	Holdings []Holding
	Released []Released
}

// partialCheckpoint collects the parts of one checkpoint until it is complete.
type partialCheckpoint struct {
	upto  uint64
	total int
	parts map[int]*Checkpoint
}

// Checkpoint returns the state before the record at offset upto, in parts that each fit into a log record.
func (l *Ledger) Checkpoint(upto uint64) []Checkpoint {
	holdings := make([]Holding, 0, len(l.keys))
	for _, h := range l.keys {
		holdings = append(holdings, h)
	}
	released := make([]Released, 0, len(l.released))
	for id, at := range l.released {
		released = append(released, Released{ID: id, At: at})
	}
	slices.SortFunc(holdings, compareHoldings)
	slices.SortFunc(released, compareReleased)
	parts := split(upto, holdings, released)
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
		parts[i].Now = l.now
	}
	return parts
}

// compareHoldings gives a total order, so that equal states have equal parts on every host.
func compareHoldings(a, b Holding) int {
	return cmp.Or(a.At.Compare(b.At), bytes.Compare(a.Key[:], b.Key[:]))
}

func compareReleased(a, b Released) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.ID.Host, b.ID.Host),
		cmp.Compare(a.ID.Incarnation, b.ID.Incarnation),
		cmp.Compare(a.ID.Sequence, b.ID.Sequence),
	)
}

func split(upto uint64, holdings []Holding, released []Released) []Checkpoint {
	var parts []Checkpoint
	for chunk := range slices.Chunk(holdings, PartEntries) {
		parts = append(parts, Checkpoint{Upto: upto, Holdings: chunk})
	}
	for chunk := range slices.Chunk(released, PartEntries) {
		parts = append(parts, Checkpoint{Upto: upto, Released: chunk})
	}
	if len(parts) == 0 {
		parts = append(parts, Checkpoint{Upto: upto})
	}
	return parts
}

// Restore collects r if it is part of a checkpoint, and loads the checkpoint once it is complete. A part with a number that its
// checkpoint cannot have is ignored.
func (l *Ledger) Restore(r replayer.Record[Payload]) (uint64, bool) {
	c := r.Payload.Checkpoint
	if c == nil || c.Part < 0 || c.Part >= c.Parts {
		return 0, false
	}
	if l.partial.upto != c.Upto || l.partial.total != c.Parts {
		l.partial = partialCheckpoint{upto: c.Upto, total: c.Parts, parts: make(map[int]*Checkpoint)}
	}
	l.partial.parts[c.Part] = c
	if len(l.partial.parts) < l.partial.total {
		return 0, false
	}
	l.load(l.partial.total)
	return c.Upto, true
}

func (l *Ledger) load(n int) {
	parts := l.partial.parts
	l.Reset()
	l.now = parts[0].Now
	for i := range n {
		for _, h := range parts[i].Holdings {
			l.hold(h)
		}
		for _, r := range parts[i].Released {
			l.releaseAt(r)
		}
	}
	slices.SortStableFunc(l.expiry, func(a, b expiry) int { return a.at.Compare(b.at) })
}
