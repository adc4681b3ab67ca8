// Package history keeps the decisions taken for recent requests and how they ended, so
// that operators can ask why a request went where it went.
//
// # Usage
//
//	book.Begin("request-1", "rep-portal")
//	book.Add("request-1", history.Decision{Stage: "generate", Action: "Send", Target: "llm-1"})
//	entry, ok := book.Of("request-1")
package history

import (
	"sync"
	"time"
)

// Bounds of what is remembered.
const (
	MaxRequests    = 2048
	MaxAnswerBytes = 8 << 20
)

// Decision is one step of a request.
type Decision struct {
	At         time.Time
	Stage      string
	Action     string
	Target     string
	Reason     string
	Candidates []string
	CostMicros int64
}

// Entry is one request.
type Entry struct {
	Account   string
	Decisions []Decision
	// Answer is the encoded answer, once there is one.
	Answer []byte
	// Failure is the error kind of a request that failed.
	Failure string
}

// Store is safe for concurrent use; the zero value is empty.
type Store struct {
	mu       sync.Mutex
	requests map[string]*Entry
	order    []string
	bytes    int
}

// Begin starts the entry of a request and forgets the oldest ones when there are too many.
func (b *Store) Begin(request, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(request).Account = account
}

// Add appends a decision.
func (b *Store) Add(request string, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(request)
	e.Decisions = append(e.Decisions, d)
}

// End records how the request ended.
func (b *Store) End(request, account string, answer []byte, failure string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(request)
	e.Account = account
	e.Failure = failure
	b.bytes += len(answer) - len(e.Answer)
	e.Answer = answer
	b.trim()
}

func (b *Store) entry(request string) *Entry {
	if b.requests == nil {
		b.requests = map[string]*Entry{}
	}
	e, ok := b.requests[request]
	if !ok {
		e = &Entry{}
		b.requests[request] = e
		b.order = append(b.order, request)
		b.trim()
	}
	return e
}

func (b *Store) trim() {
	for len(b.order) > 1 && (len(b.order) > MaxRequests || b.bytes > MaxAnswerBytes) {
		oldest := b.order[0]
		b.order = b.order[1:]
		b.bytes -= len(b.requests[oldest].Answer)
		delete(b.requests, oldest)
	}
}

// Lookup returns the entry of a request and whether it is remembered.
func (b *Store) Lookup(request string) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.requests[request]
	if !ok {
		return Entry{}, false
	}
	found := *e
	found.Decisions = append([]Decision(nil), e.Decisions...)
	return found, true
}
