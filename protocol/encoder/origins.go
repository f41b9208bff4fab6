package encoder

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

// keyBytes is the size of an encoded stream key.
const keyBytes = 8

// Origins encodes the streams that each version of a service has begun.
func Origins(streams map[attributor.Origin][]attributor.Key) wire.StreamOrigins {
	var w wire.StreamOrigins
	origins := slices.SortedFunc(maps.Keys(streams), func(a, b attributor.Origin) int {
		return strings.Compare(a.Service+"/"+a.Version, b.Service+"/"+b.Version)
	})
	for _, o := range origins {
		group := wire.OriginGroup{Service: o.Service, Version: o.Version}
		for _, key := range streams[o] {
			group.Keys = binary.BigEndian.AppendUint64(group.Keys, uint64(key))
		}
		w.Groups = append(w.Groups, group)
	}
	return w
}

// AttributorOrigins decodes the streams that each version of a service has begun. The error is a *LengthError.
func AttributorOrigins(w wire.StreamOrigins) (map[attributor.Origin][]attributor.Key, error) {
	streams := make(map[attributor.Origin][]attributor.Key)
	for _, group := range w.Groups {
		if len(group.Keys)%keyBytes != 0 {
			return nil, &LengthError{Field: "keys", Want: keyBytes * (len(group.Keys)/keyBytes + 1), Got: len(group.Keys)}
		}
		o := attributor.Origin{Service: group.Service, Version: group.Version}
		for chunk := range slices.Chunk(group.Keys, keyBytes) {
			streams[o] = append(streams[o], attributor.Key(binary.BigEndian.Uint64(chunk)))
		}
	}
	return streams, nil
}

// VersionRecord encodes a record of a software version.
func VersionRecord(r attributor.Record) ([]byte, error) {
	return Encode(wire.VersionRecord{Service: r.Origin.Service, Version: r.Origin.Version, State: int(r.State), Era: r.Era})
}

// AttributorRecord decodes a record of a software version.
func AttributorRecord(data []byte) (attributor.Record, error) {
	w, err := Decode[wire.VersionRecord](data)
	if err != nil {
		return attributor.Record{}, err
	}
	return attributor.Record{Origin: attributor.Origin{Service: w.Service, Version: w.Version}, State: attributor.State(w.State), Era: w.Era}, nil
}
