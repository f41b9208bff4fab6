// Package encoder encodes wire types as CBOR and converts them from and to the types of the coordination packages.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// MaxElements is the maximum number of elements of one decoded array or map.
const MaxElements = 1 << 17

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns v encoded as CBOR.
func Encode[T any](v T) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errorx.Decorate(err, "encoder: unable to encode %T", v)
	}
	return data, nil
}

// Decode decodes CBOR into a value of type T. Indefinite lengths and duplicate keys are errors.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := decMode.Unmarshal(data, &v); err != nil {
		var zero T
		return zero, errorx.Decorate(err, "encoder: unable to decode %T", v)
	}
	return v, nil
}
