package callerconn

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
)

// settlingLooks is after how many looks at timeouts a request that has been read whole has begun.
const settlingLooks = 2

// CloseExpired closes the connections without a request in progress that have exceeded a timeout. A request
// that has arrived, read or not, is in progress: either it is answered or it does not begin. It is to be called
// again and again.
func (l *Listener) CloseExpired(now time.Time, timeouts Timeouts) {
	closed := 0
	l.mu.Lock()
	for _, waiting := range l.waiting {
		for e := waiting.Front(); e != nil; {
			c := e.Value.(*tracked)
			e = e.Next()
			if c.reading.Load() != 0 {
				c.looks++
			}
			if c.exceeds(timeouts, now) && l.closeUnlessUnread(c, now) {
				closed++
			}
		}
	}
	l.timeouts = timeouts
	l.mu.Unlock()
	l.expired.Add(int64(closed))
}

// exceeds reports whether a connection without a request in progress has exceeded a timeout, and the one that
// was in force when its caller last used it, by which the caller goes. The mutex of its listener is held.
func (c *tracked) exceeds(timeouts Timeouts, now time.Time) bool {
	timeouts = timeouts.atLeast(c.timeouts)
	since, limit := c.since, timeouts.Idle
	reading := c.reading.Load()
	switch {
	case c.state == unused:
		limit = timeouts.Header
	case reading != 0:
		since, limit = time.Unix(0, reading), timeouts.Header
	}
	return limit > 0 && now.Sub(since) > limit
}

// settled reports whether what was read from a connection without a request in progress is no request that is
// about to begin: the process has looked at it again and again since its first byte. The mutex is held.
func (c *tracked) settled() bool { return c.reading.Load() == 0 || c.looks >= settlingLooks }

// begun looks at a connection that is to make room. It reports whether a request would have begun by now that had
// been read from it whole. The mutex is held.
func (c *tracked) begun(now time.Time) bool {
	if c.reading.Load() == 0 {
		return true
	}
	if now.Sub(c.lookedAt) >= awake.Step {
		c.looks, c.lookedAt = c.looks+1, now
	}
	return c.looks >= displacingLooks
}
