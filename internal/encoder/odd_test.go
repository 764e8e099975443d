package encoder

import (
	"bytes"
	"math"
	"testing"
)

// TestOddItemsAreRefused decodes items that are nested too deeply, too long, or out of range.
func TestOddItemsAreRefused(t *testing.T) {
	type message struct {
		Number int   `cbor:"1,keyasint"`
		Small  uint8 `cbor:"2,keyasint"`
		List   []any `cbor:"3,keyasint"`
		Text   string
	}
	field := func(key byte, value ...byte) []byte { return append([]byte{0xa1, key}, value...) }
	nested := append(bytes.Repeat([]byte{0x81}, 1_000_000), 0)
	odd := map[string][]byte{
		"deep nesting":          field(3, nested...),
		"length of 2^62":        field(3, 0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0),
		"string of 2^40 bytes":  field(4, 0x7b, 0, 0, 1, 0, 0, 0, 0, 0),
		"number above 63 bits":  field(1, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
		"number above one byte": field(2, 0x19, 1, 0),
		"fraction":              field(1, 0xfb, 0x3f, 0xe0, 0, 0, 0, 0, 0, 0),
		"repeated key":          {0xa2, 1, 1, 1, 2},
		"data after the item":   {0xa0, 0xa0},
		"nothing":               {},
	}
	for name, data := range odd {
		if err := Unmarshal(data, &message{}); err == nil {
			t.Errorf("%s: decoded, want an error", name)
		}
	}
	data, err := Marshal(message{Number: math.MinInt})
	if err != nil {
		t.Fatal(err)
	}
	var m message
	if err := Unmarshal(data, &m); err != nil || m.Number != math.MinInt {
		t.Errorf("the lowest number is decoded as %d, error %v", m.Number, err)
	}
}
