// Package replayer rebuilds a state from a log stream whose oldest records may have expired.
// A reader holds the whole state if it read the stream from its first record, or from a checkpoint
// that covers every record before the oldest one it has seen.
package replayer

import "time"

// Record is one log record, decoded. Offset counts from 0 without gaps; At is the log's time of the append.
type Record[P any] struct {
	Offset  uint64
	At      time.Time
	Payload P
}

// State is a state built from records. Its methods are called in offset order.
type State[P any] interface {
	// Reset empties the state.
	Reset()
	// Apply changes the state by one record.
	Apply(r Record[P])
	// Restore takes r if it is part of a checkpoint. Once the checkpoint is complete, the state is the one
	// before the record at offset upto.
	Restore(r Record[P]) (upto uint64, complete bool)
}

// Replayer feeds records to a State and knows whether that state is whole. It is not safe for concurrent use.
type Replayer[P any] struct {
	state    State[P]
	next     uint64
	complete bool
	buffered []Record[P]
}

// New returns a Replayer that has read nothing.
func New[P any](state State[P]) *Replayer[P] {
	return &Replayer[P]{state: state, complete: true}
}

// Restart empties the state. The next record is read at offset oldest.
func (p *Replayer[P]) Restart(oldest uint64) {
	p.state.Reset()
	p.next = oldest
	p.complete = oldest == 0
	p.buffered = nil
}

// Next returns the offset of the next record to read.
func (p *Replayer[P]) Next() uint64 { return p.next }

// IsWhole tells whether the state covers every record before Next.
func (p *Replayer[P]) IsComplete() bool { return p.complete }

// Feed takes the record at offset Next. A record at any other offset is ignored and Feed returns false.
func (p *Replayer[P]) Feed(r Record[P]) bool {
	if r.Offset != p.next {
		return false
	}
	p.next++
	if p.complete {
		p.state.Apply(r)
		return true
	}
	p.buffered = append(p.buffered, r)
	p.restore(r)
	return true
}

func (p *Replayer[P]) restore(r Record[P]) {
	upto, complete := p.state.Restore(r)
	if !complete {
		return
	}
	if upto < p.buffered[0].Offset {
		p.state.Reset()
		return
	}
	p.complete = true
	for _, t := range p.buffered {
		if t.Offset >= upto {
			p.state.Apply(t)
		}
	}
	p.buffered = nil
}
