package logger

import (
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines on to a writer that may block. It holds a limited number of lines and drops further ones,
// so that no caller ever waits; it is safe for concurrent use.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	ended   chan struct{}
}

// NewBoundedWriter returns a writer that holds up to the given number of lines for out. Close ends its goroutine.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, lines), ended: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *BoundedWriter) run(out io.Writer) {
	defer close(w.ended)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write queues a line, or drops it where too many are waiting; it never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// closeTimeout bounds the wait for a reader at the end of the process.
const closeTimeout = 300 * time.Millisecond

// Close writes the lines that wait, unless nobody reads them; what is written afterwards is lost.
func (w *BoundedWriter) Close() error {
	late := time.NewTimer(closeTimeout)
	defer late.Stop()
	select {
	case w.lines <- nil:
	case <-late.C:
		return nil
	}
	select {
	case <-w.ended:
	case <-late.C:
	}
	return nil
}
