// Package history stores the routing decisions and the results of recent requests in memory, so
// that operators can look up why a request was sent to a target.
//
// # Usage
//
//	store.Begin("request-1", "rep-portal")
//	store.Add("request-1", history.Decision{Stage: "generate", Action: "Send", Target: "llm-1"})
//	entry, ok := store.Lookup("request-1")
package history

import (
	"sync"
	"time"
)

// Limits of a Store; the oldest entries are removed beyond them.
const (
	// MaxRequests limits the number of entries.
	MaxRequests = 2048
	// MaxAnswerBytes limits the length in bytes of all answers together.
	MaxAnswerBytes = 8 << 20
)

// Decision is one routing decision for a stage, or the end of an attempt. Its JSON form is sent
// between daemons.
type Decision struct {
	At    time.Time
	Stage string
	// Action is Send (an attempt is sent), Hold (the stage waits), Refuse (the stage is
	// rejected), Hedge (a second attempt is sent) or Failed (an attempt failed).
	Action string
	// Target is the name of the target; empty if none was chosen.
	Target string
	Reason string
	// Candidates lists the targets that were considered, each followed by the flags that
	// apply, as in "llm-1(Cold,Full)".
	Candidates []string
	// CostMicros is the cost in millionths of the currency unit; 0 if none is recorded.
	CostMicros int64
}

// Entry is the history of one request.
type Entry struct {
	Account   string
	Decisions []Decision
	// Answer is the answer as JSON; nil until there is one.
	Answer []byte
	// Failure is the error kind of a request that failed.
	Failure string
}

// Store holds the entries of recent requests. The zero value is empty. It is safe for concurrent
// use.
type Store struct {
	mu       sync.Mutex
	requests map[string]*Entry
	// order lists the request IDs, the oldest first.
	order []string
	// bytes is the length in bytes of all answers together.
	bytes int
}

// Begin adds the entry of a request.
func (s *Store) Begin(request, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(request).Account = account
}

// Add appends a decision to the entry of the request.
func (s *Store) Add(request string, d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(request)
	e.Decisions = append(e.Decisions, d)
}

// End records the result of a request: its answer as JSON, or the error kind in failure.
func (s *Store) End(request, account string, answer []byte, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(request)
	e.Account = account
	e.Failure = failure
	s.bytes += len(answer) - len(e.Answer)
	e.Answer = answer
	s.trim()
}

// entry returns the entry of the request, which it adds if there is none.
func (s *Store) entry(request string) *Entry {
	if s.requests == nil {
		s.requests = map[string]*Entry{}
	}
	e, ok := s.requests[request]
	if !ok {
		e = &Entry{}
		s.requests[request] = e
		s.order = append(s.order, request)
		s.trim()
	}
	return e
}

// trim removes the oldest entries until the limits are met. The newest entry always stays.
func (s *Store) trim() {
	for len(s.order) > 1 && (len(s.order) > MaxRequests || s.bytes > MaxAnswerBytes) {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.bytes -= len(s.requests[oldest].Answer)
		delete(s.requests, oldest)
	}
}

// Lookup returns a copy of the entry of a request and whether there is one.
func (s *Store) Lookup(request string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.requests[request]
	if !ok {
		return Entry{}, false
	}
	found := *e
	found.Decisions = append([]Decision(nil), e.Decisions...)
	return found, true
}
