package request

import (
	"encoding/json"
	"sync"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// SendRecord records what one request has sent to targets. An intent is recorded before
// the first byte can leave and withdrawn only if no byte has left.
type SendRecord struct {
	mu            sync.Mutex
	any           int
	nonIdempotent int
	sealed        bool
}

// Intent is one recorded send.
type Intent struct {
	sends      *SendRecord
	idempotent bool
}

// RecordIntent records that an attempt is about to be sent; it fails once the record is sealed.
func (s *SendRecord) RecordIntent(idempotent bool) (Intent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return Intent{}, problem.New(problem.Internal, "send after the request was answered")
	}
	s.any++
	if !idempotent {
		s.nonIdempotent++
	}
	return Intent{sends: s, idempotent: idempotent}, nil
}

// Withdraw removes the intent because no byte of the attempt has left.
func (i Intent) Withdraw() {
	i.sends.mu.Lock()
	defer i.sends.mu.Unlock()
	i.sends.any--
	if !i.idempotent {
		i.sends.nonIdempotent--
	}
}

// MayHaveRun reports whether a non-idempotent stage may have been sent.
func (s *SendRecord) MayHaveRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nonIdempotent > 0
}

// Seal forbids every later send and returns what can be said of the earlier ones.
func (s *SendRecord) Seal() NotRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return NotRun{proven: s.any == 0}
}

// NotRun is the statement that no stage of a request was or will be sent. Only
// Sends.Seal makes it; the zero value states nothing. Its encoded form carries the
// statement of the daemon that made it to the caller.
type NotRun struct {
	proven bool
}

// RelayedNotRun returns the statement as it was received from the daemon that made it.
func RelayedNotRun(proven bool) NotRun {
	return NotRun{proven: proven}
}

// MarshalJSON encodes the statement as a boolean.
func (n NotRun) MarshalJSON() ([]byte, error) {
	return json.Marshal(n.proven)
}

// UnmarshalJSON decodes a relayed statement.
func (n *NotRun) UnmarshalJSON(body []byte) error {
	return json.Unmarshal(body, &n.proven)
}

// Proven reports whether the statement is made.
func (n NotRun) Proven() bool {
	return n.proven
}
