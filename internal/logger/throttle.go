package logger

import (
	"sync"

	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// throttleInterval is the shortest time between two lines of a Throttle.
const throttleInterval = 5 * timekeeper.Second

// Throttle bounds the lines about input from others, which may come in any number. It writes the first line at once and
// then one in five seconds at most. The zero value is ready to use. It is safe for concurrent use.
type Throttle struct {
	clock timekeeper.Monotonic

	mu         sync.Mutex
	next       timekeeper.Millis // when the next line may be written
	suppressed int               // lines not written since the last one
}

// Log writes a line for the event with the number of lines that were suppressed since the last one, or suppresses it.
func (t *Throttle) Log(l Logger, e Event, fields ...Field) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now < t.next {
		t.suppressed++
		return
	}
	l.Log(e, append(fields, F("suppressed", t.suppressed))...)
	t.next, t.suppressed = now+throttleInterval, 0
}
