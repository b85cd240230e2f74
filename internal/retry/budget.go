package retry

import "sync/atomic"

// The budget in thousandths of a retry.
const (
	retryCost       = 1000
	successEarnings = 200    // a fifth of the successes may be retried
	maxBudget       = 50_000 // retries that may be made at once
)

// Budget bounds retries to a share of the successes, so that they cannot
// multiply an overload. It is safe for concurrent use.
type Budget struct {
	held atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.held.Store(maxBudget)
	return b
}

// Succeeded earns a part of a retry.
func (b *Budget) Succeeded() {
	for {
		held := b.held.Load()
		if held == maxBudget || b.held.CompareAndSwap(held, min(held+successEarnings, maxBudget)) {
			return
		}
	}
}

// Take spends one retry. It returns false when the budget is spent.
func (b *Budget) Take() bool {
	for {
		held := b.held.Load()
		if held < retryCost {
			return false
		}
		if b.held.CompareAndSwap(held, held-retryCost) {
			return true
		}
	}
}
