package callerconn

import "time"

// CloseExpired closes the connections without a request in progress that have exceeded a timeout. A request
// whose head has arrived is in progress: either it is answered or it does not begin.
func (l *Listener) CloseExpired(now time.Time, timeouts Timeouts) {
	var expired []*tracked
	l.mu.Lock()
	for _, waiting := range l.waiting {
		for e := waiting.Front(); e != nil; {
			c := e.Value.(*tracked)
			e = e.Next()
			if c.exceeds(timeouts, now) {
				l.set(c, closed, now)
				expired = append(expired, c)
			}
		}
	}
	l.mu.Unlock()
	for _, c := range expired {
		_ = c.Conn.Close()
	}
	l.expired.Add(int64(len(expired)))
}

// exceeds reports whether a connection without a request in progress has exceeded a timeout. The mutex of
// its listener is held.
func (c *tracked) exceeds(timeouts Timeouts, now time.Time) bool {
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
