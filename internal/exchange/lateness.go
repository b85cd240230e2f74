package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// lateness tells requests whose callers have tried before: they bring less time
// than callers of their route usually do.
type lateness struct {
	usual sync.Map // *atomic.Int64 by patienceOf, the longest time brought, in nanoseconds
}

// patienceOf is a route as long as its callers are kept waiting for the same time:
// another configuration may shorten that for all of them.
type patienceOf struct {
	route   string
	timeout time.Duration
}

// isLate reports whether the caller has spent the route's objective already.
func (l *lateness) isLate(req *Request) bool {
	brought := req.Deadline.Sub(req.Arrived)
	known, _ := l.usual.LoadOrStore(patienceOf{req.Route.Name, req.Route.Timeout}, &atomic.Int64{})
	longest := known.(*atomic.Int64)
	for {
		old := longest.Load()
		if int64(brought) <= old {
			return time.Duration(old)-brought >= req.Route.Objective
		}
		if longest.CompareAndSwap(old, int64(brought)) {
			return false
		}
	}
}
