package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since its start.
type record struct {
	mu         sync.Mutex
	file       *os.File
	began      time.Time
	violations int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// broken notes that a rule was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	r.mu.Unlock()
	r.add("BROKEN "+format, args...)
}

func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
