package logger

import "testing"

// TestEventNumbersAreUnique guards against two kinds of lines that operators cannot tell apart by number.
func TestEventNumbersAreUnique(t *testing.T) {
	texts := map[int]string{}
	for _, e := range Catalogue() {
		if other, taken := texts[e.Number]; taken {
			t.Errorf("%d is the number of %q and of %q", e.Number, other, e.Text)
		}
		texts[e.Number] = e.Text
	}
}
