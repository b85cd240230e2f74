package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// lateness tells requests whose callers have tried before: they bring less time
// than callers of their route usually do.
type lateness struct {
	usual sync.Map // *atomic.Int64, the longest time brought to a route, in nanoseconds
}

// isLate reports whether the caller has spent the route's objective already.
func (l *lateness) isLate(req *Request) bool {
	brought := req.Deadline.Sub(req.Arrived)
	known, _ := l.usual.LoadOrStore(req.Route.Name, &atomic.Int64{})
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
