package retry

import "sync/atomic"

// retryCost is the cost of one retry. Earnings are parts of it.
const retryCost = 1000

// Budget bounds retries to a share of the requests, so that they cannot
// multiply an overload. It is safe for concurrent use.
type Budget struct {
	earning int64 // of one request, in parts of retryCost
	most    int64 // that is saved up
	held    atomic.Int64
}

// NewBudget returns a full budget. Each request that earns allows share of a
// retry; burst retries may be made at once.
func NewBudget(share float64, burst int64) *Budget {
	b := &Budget{earning: int64(share * retryCost), most: burst * retryCost}
	b.held.Store(b.most)
	return b
}

// Earn credits one request.
func (b *Budget) Earn() {
	for {
		held := b.held.Load()
		if held == b.most || b.held.CompareAndSwap(held, min(held+b.earning, b.most)) {
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
