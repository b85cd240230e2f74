package admit

import (
	"sync/atomic"
	"time"
)

// Admission is the right of one request to run. The zero value stands outside
// the division of capacity.
type Admission struct {
	gate    *Gate
	waiting *waiting
	started time.Time
	done    atomic.Bool
}

// Done gives the right back. whole says that the request got its whole answer.
func (a *Admission) Done(whole bool) {
	if a.gate != nil && a.done.CompareAndSwap(false, true) {
		a.gate.depart(a.waiting, time.Since(a.started), whole)
	}
}
