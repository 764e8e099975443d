package logger

import (
	"bytes"
	"strings"
	"testing"
)

// blocked is a writer whose reader has stopped.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBoundedWriterNeverBlocks writes far more than fits while nobody reads.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := blocked{make(chan struct{})}
	w := NewBoundedWriter(out, 4)
	const lines = 100
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.Dropped(); got < lines-4-1 || got >= lines {
		t.Errorf("%d lines dropped of %d with room for 4", got, lines)
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestBoundedWriterKeepsLinesWhole closes after some lines; all of them are there, in order.
func TestBoundedWriterKeepsLinesWhole(t *testing.T) {
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
