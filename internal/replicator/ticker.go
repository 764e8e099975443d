package replicator

import (
	"time"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

func newTicker(interval timekeeper.Millis) *time.Ticker {
	return time.NewTicker(interval.Duration())
}
