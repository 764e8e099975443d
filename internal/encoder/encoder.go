package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxElements limits the length of each array and map in a message, so that a corrupt length cannot exhaust memory.
const maxElements = 1 << 20

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns v encoded as deterministic CBOR: equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes one CBOR item into v, which must be a pointer. It returns an error if bytes follow the item.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
