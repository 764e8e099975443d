package timekeeper

import (
	"context"
	"testing"
	"time"
)

func TestRepeatEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Repeat(ctx, time.Millisecond, func() {
			if calls++; calls == 3 {
				cancel()
			}
		})
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("Repeat goes on 10 s after its context ended")
	}
	if calls < 3 {
		t.Errorf("Repeat called f %d times, want at least 3", calls)
	}
}
