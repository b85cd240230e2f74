package service

import "sync/atomic"

// Shares of a retry that calls earn, and the most that is saved up.
const (
	retryCost      = 100
	callEarns      = 10 // a tenth of a retry
	budgetCapacity = 10 * retryCost
)

// budget bounds retries to a share of the calls.
type budget struct {
	tokens atomic.Int64
}

func newBudget() *budget {
	b := &budget{}
	b.tokens.Store(budgetCapacity)
	return b
}

// earn credits one call.
func (b *budget) earn() {
	if b.tokens.Add(callEarns) > budgetCapacity {
		b.tokens.Add(-callEarns)
	}
}

// spend takes one retry, if the budget holds it.
func (b *budget) spend() bool {
	if b.tokens.Add(-retryCost) >= 0 {
		return true
	}
	b.tokens.Add(retryCost)
	return false
}
