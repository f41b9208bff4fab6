package encoder

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// LengthError reports a field of the wrong length in bytes.
type LengthError struct {
	Field string
	Got   int
	Want  int
}

func (e *LengthError) Error() string {
	return fmt.Sprintf("encoder: unable to read %s: %d bytes, want %d", e.Field, e.Got, e.Want)
}

// ClaimID converts a claim ID to its wire type.
func ClaimID(id claimer.ID) wire.ClaimID {
	return wire.ClaimID{Host: id.Host, Incarnation: id.Incarnation, Sequence: id.Sequence}
}

// ClaimerID converts w to a claim ID.
func ClaimerID(w wire.ClaimID) claimer.ID {
	return claimer.ID{Host: w.Host, Incarnation: w.Incarnation, Sequence: w.Sequence}
}

// Digest converts data to a digest. Field names the message field in the error.
func Digest(field string, data []byte) (claimer.Digest, error) {
	var d claimer.Digest
	if len(data) != len(d) {
		return d, &LengthError{Field: field, Got: len(data), Want: len(d)}
	}
	copy(d[:], data)
	return d, nil
}

// Holding converts the state of a claimed key to its wire type.
func Holding(h claimer.Holding) wire.Holding {
	return wire.Holding{
		Key: h.Key[:], ID: ClaimID(h.ID), Fingerprint: h.Fingerprint[:],
		Time: int(h.At.UnixNano()), Done: h.Done, Status: h.Status,
	}
}

// ClaimerHolding converts w to the state of a claimed key.
func ClaimerHolding(w wire.Holding) (claimer.Holding, error) {
	key, err := Digest("key", w.Key)
	if err != nil {
		return claimer.Holding{}, err
	}
	fingerprint, err := Digest("print", w.Fingerprint)
	if err != nil {
		return claimer.Holding{}, err
	}
	return claimer.Holding{
		Key: key, ID: ClaimerID(w.ID), Fingerprint: fingerprint,
		At: time.Unix(0, int64(w.Time)), Done: w.Done, Status: w.Status,
	}, nil
}

// EncodeOnceRecord encodes p as a record of a stream of claims.
func EncodeOnceRecord(p claimer.Payload) ([]byte, error) {
	var r wire.OnceRecord
	for _, e := range p.Entries {
		r.Entries = append(r.Entries, wire.OnceEntry{
			Kind: uint8(e.Kind), ID: ClaimID(e.ID), Key: e.Key[:], Fingerprint: e.Fingerprint[:], Status: e.Status,
		})
	}
	if p.Checkpoint != nil {
		r.Point = onceCheckpointToWire(*p.Checkpoint)
	}
	return Encode(r)
}

func onceCheckpointToWire(c claimer.Checkpoint) *wire.OnceCheckpoint {
	w := &wire.OnceCheckpoint{Upto: c.Upto, Time: int(c.Now.UnixNano()), Part: c.Part, Parts: c.Parts}
	for _, h := range c.Holdings {
		w.Holdings = append(w.Holdings, Holding(h))
	}
	for _, r := range c.Released {
		w.Released = append(w.Released, wire.Released{ID: ClaimID(r.ID), Time: int(r.At.UnixNano())})
	}
	return w
}

// DecodeOnceRecord decodes a record of a stream of claims.
func DecodeOnceRecord(data []byte) (claimer.Payload, error) {
	w, err := Decode[wire.OnceRecord](data)
	if err != nil {
		return claimer.Payload{}, err
	}
	var p claimer.Payload
	for _, e := range w.Entries {
		entry, err := onceEntryFromWire(e)
		if err != nil {
			return claimer.Payload{}, err
		}
		p.Entries = append(p.Entries, entry)
	}
	if w.Point != nil {
		p.Checkpoint, err = onceCheckpointFromWire(w.Point)
	}
	return p, err
}

func onceEntryFromWire(w wire.OnceEntry) (claimer.Entry, error) {
	key, err := Digest("key", w.Key)
	if err != nil {
		return claimer.Entry{}, err
	}
	fingerprint, err := Digest("print", w.Fingerprint)
	if err != nil {
		return claimer.Entry{}, err
	}
	return claimer.Entry{
		Kind: claimer.Kind(w.Kind), ID: ClaimerID(w.ID), Key: key, Fingerprint: fingerprint, Status: w.Status,
	}, nil
}

func onceCheckpointFromWire(w *wire.OnceCheckpoint) (*claimer.Checkpoint, error) {
	c := &claimer.Checkpoint{Upto: w.Upto, Now: time.Unix(0, int64(w.Time)), Part: w.Part, Parts: w.Parts}
	for _, h := range w.Holdings {
		holding, err := ClaimerHolding(h)
		if err != nil {
			return nil, err
		}
		c.Holdings = append(c.Holdings, holding)
	}
	for _, r := range w.Released {
		c.Released = append(c.Released, claimer.Released{ID: ClaimerID(r.ID), At: time.Unix(0, int64(r.Time))})
	}
	return c, nil
}
