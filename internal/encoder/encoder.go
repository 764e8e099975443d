package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds arrays and maps of one message, so that a damaged length cannot exhaust the memory.
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

// Marshal returns v in deterministic CBOR: equal values give equal bytes.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal reads one CBOR item into v and refuses trailing bytes.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
