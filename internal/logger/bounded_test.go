package logger

import (
	"bytes"
	"strings"
	"testing"
)

// blockingWriter blocks every Write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBoundedWriterNeverBlocks writes far more lines than the queue holds while the underlying writer blocks.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := blockingWriter{make(chan struct{})}
	w := NewBoundedWriter(out, 4)
	const lines = 100
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.Dropped(); got < lines-4-1 || got >= lines {
		t.Errorf("%d lines dropped of %d with a queue of 4", got, lines)
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestBoundedWriterCloseFlushesLinesInOrder checks that every line written before Close reaches the underlying writer.
func TestBoundedWriterCloseFlushesLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewBoundedWriter(&out, 10)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.ReplaceAll(out.String(), "\n", ""); got != "abc" {
		t.Errorf("wrote %q, want %q", got, "abc")
	}
}
