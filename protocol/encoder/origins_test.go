package encoder

import (
	"errors"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

func TestOriginsSurviveEncodingAndDecoding(t *testing.T) {
	streams := map[attributor.Origin][]attributor.Key{
		{Service: "writer", Version: "v1"}: {1, math.MaxUint64}, {Service: "writer", Version: "v2"}: {2}, {Service: "", Version: "écrit"}: {0},
	}
	data, err := Encode(Origins(streams))
	require.NoError(t, err)
	w, err := Decode[wire.StreamOrigins](data)
	require.NoError(t, err)
	got, err := AttributorOrigins(w)
	require.NoError(t, err)
	assert.Equal(t, streams, got)
}

func TestStreamKeysOfTheWrongLengthAreReportedWithTheirField(t *testing.T) {
	_, err := AttributorOrigins(wire.StreamOrigins{Groups: []wire.OriginGroup{{Service: "s", Version: "v", Keys: make([]byte, 12)}}})
	var length *LengthError
	require.True(t, errors.As(err, &length))
	assert.Equal(t, LengthError{Field: "keys", Got: 12, Want: 16}, *length)
}

func TestVersionRecordsSurviveEncodingAndDecoding(t *testing.T) {
	for _, r := range []attributor.Record{
		{Era: 3}, {Origin: attributor.Origin{Service: "writer", Version: "v1"}, State: attributor.Retiring}, {Origin: attributor.Origin{Service: "w", Version: "v"}, State: 99},
	} {
		data, err := VersionRecord(r)
		require.NoError(t, err)
		got, err := AttributorRecord(data)
		require.NoError(t, err)
		assert.Equal(t, r, got)
	}
	_, err := AttributorRecord([]byte("odd"))
	assert.Error(t, err)
}
