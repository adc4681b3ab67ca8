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
	// events is the number of the last event that a server has made, by attempt.
	events map[string]int
}

// wrote notes that a server has made an event of an answer.
func (r *record) wrote(attempt string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[attempt] = max(r.events[attempt], n)
}

// made returns the number of the last event that a server has made for an attempt.
func (r *record) made(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[attempt]
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), events: map[string]int{}}, nil
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
