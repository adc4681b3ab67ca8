package run

import "sync"

// Settings of the retry budget.
const (
	// retryShare is the number of repeated attempts that each first attempt pays for.
	retryShare = 0.2
	// retryReserve bounds the repeated attempts that can be saved up.
	retryReserve = 20.0
)

// RetryBudget bounds retries and hedges to a share of the traffic; the zero value starts
// with a full reserve.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64
}

// Deposit adds what one first attempt pays for.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryShare)
}

// TryWithdraw takes one repeated attempt from the budget, if there is one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
