package run

import "sync"

const (
	// retriesPerAttempt is the number of repeated attempts (retries and hedges) that each
	// attempt except a hedge adds to the budget.
	retriesPerAttempt = 0.2
	// maxSavedRetries is the number of repeated attempts in a full budget. It limits how many
	// of them a burst of failures can use at once.
	maxSavedRetries = 20.0
)

// RetryBudget limits retries and hedges to a share of the attempts, so that a failing target
// doesn't multiply the load. The zero value is a full budget. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// spent is the number of repeated attempts that are missing from a full budget.
	spent float64
}

// Deposit adds retriesPerAttempt to the budget, up to the full one. It is called once for each
// attempt except a hedge.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerAttempt)
}

// TryWithdraw takes one repeated attempt from the budget, and reports whether the budget had
// one left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxSavedRetries {
		return false
	}
	b.spent++
	return true
}
