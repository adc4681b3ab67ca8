package run

import "sync"

const (
	// retriesPerAttempt is the number of repeated attempts that each first attempt allows.
	retriesPerAttempt = 0.2
	// maxSavedRetries limits the repeated attempts that a burst of failures can use at once.
	maxSavedRetries = 20.0
)

// RetryBudget limits retries and hedges to a share of the first attempts, so that a
// failing target doesn't multiply the load. The zero value has a full reserve. It is safe
// for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64
}

// Deposit adds the share of a repeated attempt that one first attempt allows.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerAttempt)
}

// TryWithdraw takes one repeated attempt from the budget and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxSavedRetries {
		return false
	}
	b.spent++
	return true
}
