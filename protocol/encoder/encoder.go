// Package encoder turns wire types into CBOR and into the types of the coordination parts.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// MaxElements bounds the elements of one decoded array or map.
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

// Encode returns v in CBOR.
func Encode[T any](v T) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errorx.Decorate(err, "encoder: unable to encode %T", v)
	}
	return data, nil
}

// Decode reads a value of type T. Indefinite lengths and repeated keys are errors.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := decMode.Unmarshal(data, &v); err != nil {
		var zero T
		return zero, errorx.Decorate(err, "encoder: unable to decode %T", v)
	}
	return v, nil
}
