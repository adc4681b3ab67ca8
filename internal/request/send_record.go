package request

import (
	"encoding/json"
	"sync"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// SendRecord counts the attempts of one request that may have reached a target. An intent is
// recorded before the first byte can leave and withdrawn only if no byte has left. The zero
// value is empty. It is safe for concurrent use.
type SendRecord struct {
	mu            sync.Mutex
	total         int
	nonIdempotent int
	sealed        bool
}

// Intent is the record of one attempt that may have been sent.
type Intent struct {
	record     *SendRecord
	idempotent bool
}

// RecordIntent records that an attempt is about to be sent. It returns an error of kind
// Internal after Seal.
func (r *SendRecord) RecordIntent(idempotent bool) (Intent, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return Intent{}, problem.New(problem.Internal, "an attempt was to be sent after the request had been answered")
	}
	r.total++
	if !idempotent {
		r.nonIdempotent++
	}
	return Intent{record: r, idempotent: idempotent}, nil
}

// Withdraw removes the intent because no byte of the attempt has left.
func (i Intent) Withdraw() {
	i.record.mu.Lock()
	defer i.record.mu.Unlock()
	i.record.total--
	if !i.idempotent {
		i.record.nonIdempotent--
	}
}

// MayHaveRun reports whether a non-idempotent stage may have been sent.
func (r *SendRecord) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nonIdempotent > 0
}

// Seal prevents later attempts and states whether any attempt may have been sent.
func (r *SendRecord) Seal() NotRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return NotRun{proven: r.total == 0}
}

// NotRun is the statement that no stage of a request was or will be sent. Only
// SendRecord.Seal makes it; the zero value states nothing. Its encoded form carries the
// statement from the daemon that made it to the caller.
type NotRun struct {
	proven bool
}

// RelayedNotRun returns the statement that was received from another daemon.
func RelayedNotRun(proven bool) NotRun {
	return NotRun{proven: proven}
}

// MarshalJSON encodes the statement as a boolean.
func (n NotRun) MarshalJSON() ([]byte, error) {
	return json.Marshal(n.proven)
}

// UnmarshalJSON decodes a statement that another daemon relayed.
func (n *NotRun) UnmarshalJSON(body []byte) error {
	return json.Unmarshal(body, &n.proven)
}

// Proven reports whether it is stated that no stage was or will be sent.
func (n NotRun) Proven() bool {
	return n.proven
}
