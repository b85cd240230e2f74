package order

import "sync/atomic"

// breaker keeps orders from waiting for a log that is away. While open, one
// order at a time probes the log and the others are refused at once.
type breaker struct {
	open    atomic.Bool
	probing atomic.Bool
}

// enter reports whether an order may try the log. It must then call leave.
func (b *breaker) enter() bool {
	if !b.open.Load() {
		return true
	}
	return b.probing.CompareAndSwap(false, true)
}

// leave notes whether the log answered. Only an order that waited its full time
// proves that the log is away.
func (b *breaker) leave(answered, waited bool) {
	if answered || waited {
		b.open.Store(!answered)
	}
	b.probing.Store(false)
}
