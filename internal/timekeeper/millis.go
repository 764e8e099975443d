package timekeeper

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a span, in milliseconds; a point's origin is that of the clock that gave it.
type Millis int64

// Second and Minute are spans in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// FromDuration returns d rounded down to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration returns m as a span of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String returns m as a number of milliseconds with its unit.
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// UnmarshalYAML reads a span such as "1m30s", as documents write it.
func (m *Millis) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return fmt.Errorf("want a span such as 1m30s: %w", err)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a span such as 1m30s, got %q", text)
	}
	*m = FromDuration(d)
	return nil
}

// MarshalYAML writes a span as UnmarshalYAML reads it.
func (m Millis) MarshalYAML() (any, error) { return m.Duration().String(), nil }

// A Clock tells the time; implementations are safe for concurrent use.
type Clock interface {
	// Now returns the present time in milliseconds from the clock's origin.
	Now() Millis
}

// processStart is the origin of every Monotonic clock of this process.
var processStart = time.Now()

// Monotonic counts from the start of the process and never jumps; its zero value is ready to use.
type Monotonic struct{}

// Now returns the milliseconds since the process started.
func (Monotonic) Now() Millis {
	return FromDuration(time.Since(processStart))
}

// Wall counts from the Unix epoch and may jump; its zero value is ready to use.
type Wall struct{}

// Now returns the milliseconds since the Unix epoch.
func (Wall) Now() Millis {
	return Millis(time.Now().UnixMilli())
}

// Manual moves only when told to; its zero value stands at zero.
type Manual struct {
	now atomic.Int64
}

// Now returns the time the clock was last moved to.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by d milliseconds and returns the new time.
func (m *Manual) Advance(d Millis) Millis {
	return Millis(m.now.Add(int64(d)))
}
