package logger

import (
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter writes lines to an underlying writer that may block. It queues a limited number of lines and drops
// those that do not fit, so that Write never blocks. Each call of Write must pass one whole, non-empty line. It is safe
// for concurrent use.
type BoundedWriter struct {
	lines   chan []byte // nil is the end marker
	dropped atomic.Uint64
	done    chan struct{}
}

// NewBoundedWriter returns a writer that queues up to the given number of lines for out. The caller must close it to
// end its goroutine, which remains if Close times out while the queue is full.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *BoundedWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of line, or drops the line if the queue is full. It never returns an error. An empty line must not
// be written: its copy is nil, the end marker, and ends the goroutine as Close does.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost so far to a full queue or to an error of the underlying writer. It
// does not count queued lines that were left when Close timed out, nor lines that were queued after Close.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// closeTimeout bounds how long Close waits for a blocked underlying writer.
const closeTimeout = 300 * time.Millisecond

// Close waits until the queued lines are written and ends the goroutine. It gives up after closeTimeout if the
// underlying writer blocks, and never returns an error. If the queue is full until then, the end marker is not queued
// and the goroutine remains. Lines written after Close are lost.
func (w *BoundedWriter) Close() error {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case w.lines <- nil:
	case <-timer.C:
		return nil
	}
	select {
	case <-w.done:
	case <-timer.C:
	}
	return nil
}
