package callerconn

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
)

const (
	finishInterval = 20 * time.Millisecond
	acceptInterval = 2 * time.Millisecond
	// firstBytePatience is how long a connection that was accepted last is kept for its first request.
	firstBytePatience = 80 * time.Millisecond
	// headPatience is how long one that has brought a part of a request is kept, or the whole that has not begun.
	headPatience = time.Second
)

// Finish stops accepting and closes the connections: those without a request as soon as they have nothing to
// read, the others once they are answered. It returns when all are closed, or once until has passed, with the
// number of those that are still open: they have a request in progress, one that is being read, or an answer
// that has not arrived.
func (l *Listener) Finish(until time.Time) int {
	end := awake.NewDeadline(until)
	for l.queued() && !end.Passed(time.Now()) {
		time.Sleep(acceptInterval)
	}
	_ = l.Close() // fails if it is closed already
	// A connection may be on its way to the server.
	for !l.ended.Load() && !end.Passed(time.Now()) {
		time.Sleep(acceptInterval)
	}
	closedAt := time.Now()
	firstByte, head := awake.NewDeadline(closedAt.Add(firstBytePatience)), awake.NewDeadline(closedAt.Add(headPatience))
	for {
		now := time.Now()
		over := end.Passed(now)
		if left := l.closeQuiet(firstByte.Passed(now), head.Passed(now)) + int(l.lingering.Load()); left == 0 || over {
			return left
		}
		time.Sleep(finishInterval)
	}
}

// closeQuiet closes the connections that wait for a request and have nothing to read. Those that have never brought
// one are closed if unusedToo is set, those that have brought a part of one if begunToo is. It returns how many are left.
func (l *Listener) closeQuiet(unusedToo, begunToo bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, waiting := range l.waiting {
		for e := waiting.Front(); e != nil; {
			c := e.Value.(*tracked)
			e = e.Next()
			switch {
			case c.reading.Load() != 0:
				if begunToo {
					c.looks = settlingLooks
					l.closeUnlessUnread(c, now)
				}
			case c.state == idle || unusedToo:
				l.closeUnlessUnread(c, now)
			}
		}
	}
	return l.open
}

// closeUnlessUnread closes a connection without a request in progress, unless bytes of its caller have arrived
// that are not read yet, or that were read a moment ago. It reports whether it did. The caller holds mu, so that
// no request begins in between.
func (l *Listener) closeUnlessUnread(c *tracked, now time.Time) bool {
	if c.unread() || !c.settled() { // in this order: bytes may be read in between
		return false
	}
	l.set(c, closed, now)
	_ = c.Conn.Close()
	return true
}
