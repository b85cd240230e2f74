package callerconn

import (
	"context"
	"time"
)

// uploadPatience is how long a request may take to arrive whole while others find no place. Callers give up a request
// that is not read within 1 s.
const uploadPatience = time.Second

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Received tells that the request in progress on the connection that ctx holds has been read whole.
func Received(ctx context.Context) {
	if c := trackedOf(connOf(ctx)); c != nil {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.endUpload()
	}
}

// answered records that the request in progress has its answer, whether it has arrived whole or not.
func (c *tracked) answered() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.needless = c.upload != nil
}

// beginUpload records that the request in progress has a body that has not been read. The caller holds the mutex.
func (c *tracked) beginUpload() { c.upload, c.needless = c.listener.uploads.PushBack(c), false }

// endUpload records that the request in progress waits for its caller no more. The caller holds the mutex.
func (c *tracked) endUpload() {
	if c.upload != nil {
		c.listener.uploads.Remove(c.upload)
		c.upload, c.needless = nil, false
	}
}

// yieldable returns the connection that is the first to make room of those whose requests have not arrived whole, nil
// if there is none: one whose request is answered already, else the one that has taken longest. The caller holds mu.
func (l *Listener) yieldable(now time.Time) *tracked {
	e := l.uploads.Front()
	for range victimCandidates {
		if e == nil {
			break
		}
		if c := e.Value.(*tracked); c.needless {
			return c
		}
		e = e.Next()
	}
	if e = l.uploads.Front(); e == nil || now.Sub(e.Value.(*tracked).since) < uploadPatience {
		return nil
	}
	return e.Value.(*tracked)
}

// yield ends the wait for a request that has not arrived whole, so that another one can begin. It is answered as not
// run, and its connection is closed. It returns false if there is none that may be ended. The caller holds mu.
func (l *Listener) yield(now time.Time) bool {
	if l.yielding >= max(l.limit/refusalShare, 1) {
		return false
	}
	c := l.yieldable(now)
	if c == nil {
		return false
	}
	l.set(c, refused, now)
	c.yields = true
	l.yielding++
	l.yielded.Add(1)
	c.yielded.Store(true)
	_ = c.Conn.SetReadDeadline(longAgo)
	return true
}

// SetReadDeadline implements net.Conn.
func (c *tracked) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if c.yielded.Load() {
		err = c.Conn.SetReadDeadline(longAgo)
	}
	return err
}
