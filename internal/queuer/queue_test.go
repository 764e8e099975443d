package queuer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestQueueOfLargeItemsIsBounded guards against a queue that is bounded by the number of its items alone, so that large
// ones use up the memory while nothing is taken.
func TestQueueOfLargeItemsIsBounded(t *testing.T) {
	q := New(4, 10, func(s string) int { return len(s) })
	var taken []bool
	for _, item := range []string{"12345678", "12345678", "x"} {
		taken = append(taken, q.Offer(item))
	}
	q.Taken(<-q.Items())
	for range 4 {
		taken = append(taken, q.Offer("x"))
	}
	if diff := cmp.Diff([]bool{true, true, false, true, true, false, false}, taken); diff != "" {
		t.Errorf("items taken (-want +got):\n%s", diff)
	}
}
