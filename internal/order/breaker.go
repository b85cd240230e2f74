package order

import "sync/atomic"

// breaker is a circuit breaker for the log. While it is open, one order at a time
// probes the log and the others are refused at once instead of waiting for their
// timeout.
type breaker struct {
	open    atomic.Bool
	probing atomic.Bool
}

// allow reports whether an order may use the log. If so, the order must call
// report afterwards.
func (b *breaker) allow() bool {
	if !b.open.Load() {
		return true
	}
	return b.probing.CompareAndSwap(false, true)
}

// report records whether the log answered. A failure opens the breaker only if
// the order waited for the full claim timeout; a shorter wait does not show that
// the log is unavailable.
func (b *breaker) report(answered, fullWait bool) {
	if answered || fullWait {
		b.open.Store(!answered)
	}
	b.probing.Store(false)
}
