package timekeeper

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a duration or a point in time, in milliseconds. A point in time counts from the origin of the clock that
// returned it.
type Millis int64

// Second, Minute and Hour are durations in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// FromDuration returns d in milliseconds, rounded toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String returns m with its unit, such as "1500ms".
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// UnmarshalYAML decodes a duration in the format of time.ParseDuration, such as "1m30s".
func (m *Millis) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return fmt.Errorf("want a duration such as 1m30s: %w", err)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as 1m30s, got %q", text)
	}
	*m = FromDuration(d)
	return nil
}

// MarshalYAML encodes a duration in the format that UnmarshalYAML decodes.
func (m Millis) MarshalYAML() (any, error) { return m.Duration().String(), nil }

// A Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time in milliseconds since the clock's origin.
	Now() Millis
}

// processStart is the origin of every Monotonic clock of this process.
var processStart = time.Now()

// Monotonic is a clock that counts from the start of the process and never jumps. Its zero value is ready to use.
type Monotonic struct{}

// Now returns the milliseconds since the process started.
func (Monotonic) Now() Millis {
	return FromDuration(time.Since(processStart))
}

// Wall is a clock that counts from the Unix epoch and may jump. Its zero value is ready to use.
type Wall struct{}

// Now returns the milliseconds since the Unix epoch.
func (Wall) Now() Millis {
	return Millis(time.Now().UnixMilli())
}

// Manual is a clock that moves only by calls to Advance. Its zero value is ready to use and starts at zero.
type Manual struct {
	now atomic.Int64
}

// Now returns the time set by the last call to Advance, or zero.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis {
	return Millis(m.now.Add(int64(d)))
}
