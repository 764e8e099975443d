package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: a line for all that was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes a line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}
