package retry

import "sync/atomic"

// retryCost is the cost of one retry in budget units, which allows a request to
// earn a fraction of a retry.
const retryCost = 1000

// Budget limits retries to a share of the requests, so that they cannot amplify an
// overload. It is safe for concurrent use.
type Budget struct {
	credit   int64        // earned by each request, in budget units
	capacity int64        // maximum balance, in budget units
	balance  atomic.Int64 // budget units
}

// NewBudget returns a full budget. Each request that is credited by Earn allows
// share of a retry; burst is the number of retries that can be made at once.
func NewBudget(share float64, burst int64) *Budget {
	b := &Budget{credit: int64(share * retryCost), capacity: burst * retryCost}
	b.balance.Store(b.capacity)
	return b
}

// Earn credits one request.
func (b *Budget) Earn() {
	for {
		balance := b.balance.Load()
		if balance == b.capacity || b.balance.CompareAndSwap(balance, min(balance+b.credit, b.capacity)) {
			return
		}
	}
}

// Take spends one retry. It returns false if the budget does not cover it.
func (b *Budget) Take() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
