package targetstats

import (
	"sync/atomic"
	"time"
)

// Hold is the time until which an endpoint wants no request of this daemon. All methods are
// lock-free and safe for concurrent use.
type Hold struct{ until atomic.Int64 } // Unix nanoseconds

// Extend holds requests back for a duration from now on. A shorter time never ends a longer one
// that was set before.
func (h *Hold) Extend(now time.Time, duration time.Duration) {
	until := now.Add(duration).UnixNano()
	for {
		old := h.until.Load()
		if until <= old || h.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// Remaining returns for how long requests are held back, 0 if they are not. A nil Hold holds
// nothing back.
func (h *Hold) Remaining(now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	return max(0, time.Unix(0, h.until.Load()).Sub(now))
}
