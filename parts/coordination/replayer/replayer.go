// Package replayer rebuilds a state from a log stream whose oldest records may have expired.
//
// The state is complete if the stream was read from its first record, or if it contains a checkpoint that covers every
// record before the oldest one read.
package replayer

import "time"

// Record is a decoded log record. Offsets start at 0 and have no gaps; At is the time at which the log appended it.
type Record[P any] struct {
	Offset  uint64
	At      time.Time
	Payload P
}

// State is built from the records of a stream, which are passed in offset order.
type State[P any] interface {
	// Reset empties the state.
	Reset()
	// Apply updates the state with one record.
	Apply(r Record[P])
	// Restore loads r if it is part of a checkpoint. It returns complete with the last part of the checkpoint; the state
	// is then the one before the record at offset upto.
	Restore(r Record[P]) (upto uint64, complete bool)
}

// Replayer passes records to a State and tracks whether that state is complete. It is not safe for concurrent use.
type Replayer[P any] struct {
	state    State[P]
	next     uint64
	complete bool
	buffered []Record[P]
}

// New returns a Replayer whose next record is at offset 0.
func New[P any](state State[P]) *Replayer[P] {
	return &Replayer[P]{state: state, complete: true}
}

// Restart empties the state and continues with the record at offset oldest.
func (rp *Replayer[P]) Restart(oldest uint64) {
	rp.state.Reset()
	rp.next = oldest
	rp.complete = oldest == 0
	rp.buffered = nil
}

// Next returns the offset of the next record that Feed accepts.
func (rp *Replayer[P]) Next() uint64 { return rp.next }

// IsComplete reports whether the state covers every record before Next.
func (rp *Replayer[P]) IsComplete() bool { return rp.complete }

// Feed processes the record at offset Next. A record at any other offset is ignored and Feed returns false. Until a
// checkpoint completes the state, records are buffered.
func (rp *Replayer[P]) Feed(r Record[P]) bool {
	if r.Offset != rp.next {
		return false
	}
	rp.next++
	if rp.complete {
		rp.state.Apply(r)
		return true
	}
	rp.buffered = append(rp.buffered, r)
	rp.restore(r)
	return true
}

func (rp *Replayer[P]) restore(r Record[P]) {
	upto, complete := rp.state.Restore(r)
	if !complete {
		return
	}
	if upto < rp.buffered[0].Offset {
		rp.state.Reset()
		return
	}
	rp.complete = true
	for _, t := range rp.buffered {
		if t.Offset >= upto {
			rp.state.Apply(t)
		}
	}
	rp.buffered = nil
}
