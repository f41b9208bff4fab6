package encoder

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

const (
	// minCompressBytes is the size in bytes above which records are compressed.
	minCompressBytes = 1 << 10
	// maxRecordsBytes bounds the size of decompressed records, against small messages that decompress to large ones.
	maxRecordsBytes = 64 << 20
)

// LogRecords encodes records of a topic. Large encodings are compressed, which packed reports.
func LogRecords(records []replicator.Record) (data []byte, packed bool, err error) {
	list := make([]wire.LogRecord, 0, len(records))
	for _, r := range records {
		list = append(list, wire.LogRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	if data, err = Encode(wire.LogRecords{List: list}); err != nil || len(data) <= minCompressBytes {
		return data, false, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, false, errorx.Decorate(err, "encoder: unable to compress records")
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, false, errorx.Decorate(err, "encoder: unable to compress records")
	}
	return b.Bytes(), true, nil
}

// Records decodes the result of LogRecords.
func Records(data []byte, packed bool) ([]replicator.Record, error) {
	if len(data) == 0 {
		return nil, nil
	}
	if packed {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordsBytes+1)); err != nil {
			return nil, errorx.Decorate(err, "encoder: unable to decompress records")
		}
		if len(data) > maxRecordsBytes {
			return nil, errorx.IllegalArgument.New("encoder: unable to decompress records: more than %d bytes", maxRecordsBytes)
		}
	}
	w, err := Decode[wire.LogRecords](data)
	if err != nil {
		return nil, err
	}
	records := make([]replicator.Record, 0, len(w.List))
	for _, r := range w.List {
		records = append(records, replicator.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return records, nil
}
