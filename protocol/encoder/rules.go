package encoder

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// EncodeRulesRecord encodes p as a record of the rules stream.
func EncodeRulesRecord(p publisher.Payload) ([]byte, error) {
	var r wire.RulesRecord
	if p.Publication != nil {
		r.Publication = publicationToWire(*p.Publication)
	}
	if p.Checkpoint != nil {
		r.Point = rulesCheckpointToWire(*p.Checkpoint)
	}
	return Encode(r)
}

func publicationToWire(p publisher.Publication) *wire.Publication {
	return &wire.Publication{
		ID: p.ID, Base: p.Base, Author: p.Author,
		Change: wire.Delta{Head: p.Change.Head, Tail: p.Change.Tail, Lines: p.Change.Lines},
		Sum:    p.Sum[:], Validator: p.Validator,
	}
}

func rulesCheckpointToWire(c publisher.Checkpoint) *wire.RulesCheckpoint {
	w := &wire.RulesCheckpoint{Upto: c.Upto, Version: c.File.Version, Text: c.File.Text, Author: c.File.Author}
	for _, d := range c.Decisions {
		w.Decisions = append(w.Decisions, wire.Decision{
			ID: d.ID, Author: d.Author, Accepted: d.Accepted, Version: d.Version, Reason: d.Reason, Time: int(d.At.UnixNano()),
		})
	}
	return w
}

// DecodeRulesRecord decodes a record of the rules stream.
func DecodeRulesRecord(data []byte) (publisher.Payload, error) {
	w, err := Decode[wire.RulesRecord](data)
	if err != nil {
		return publisher.Payload{}, err
	}
	var p publisher.Payload
	if w.Publication != nil {
		p.Publication, err = publicationFromWire(w.Publication)
	}
	if w.Point != nil {
		p.Checkpoint = rulesCheckpointFromWire(w.Point)
	}
	return p, err
}

func publicationFromWire(w *wire.Publication) (*publisher.Publication, error) {
	p := &publisher.Publication{
		ID: w.ID, Base: w.Base, Author: w.Author,
		Change:    publisher.Delta{Head: w.Change.Head, Tail: w.Change.Tail, Lines: w.Change.Lines},
		Validator: w.Validator,
	}
	if len(w.Sum) != len(p.Sum) {
		return nil, &LengthError{Field: "sum", Got: len(w.Sum), Want: len(p.Sum)}
	}
	copy(p.Sum[:], w.Sum)
	return p, nil
}

func rulesCheckpointFromWire(w *wire.RulesCheckpoint) *publisher.Checkpoint {
	c := &publisher.Checkpoint{
		Upto: w.Upto,
		File: publisher.File{Version: w.Version, Text: w.Text, Author: w.Author},
	}
	for _, d := range w.Decisions {
		c.Decisions = append(c.Decisions, publisher.Decision{
			ID: d.ID, Author: d.Author, Accepted: d.Accepted, Version: d.Version, Reason: d.Reason, At: time.Unix(0, int64(d.Time)),
		})
	}
	return c
}
