package timekeeper

import (
	"context"
	"time"
)

// Repeat calls f once in each interval until ctx ends. Calls that a slow f misses are skipped.
func Repeat(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
