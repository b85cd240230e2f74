package fakes

import (
	"net"
	"sync"
	"time"
)

// hearingConn is a connection that is read while its process reads. A time limit for reads does not run meanwhile.
type hearingConn struct {
	net.Conn
	hearing *Hearing
	close   sync.Once
	closed  chan struct{}

	mu       sync.Mutex
	deadline time.Time // for reads; zero: none
}

// Read implements net.Conn.
func (c *hearingConn) Read(p []byte) (int, error) {
	began := time.Now()
	select {
	case <-c.hearing.await():
	default:
		select {
		case <-c.hearing.await():
			c.postpone(began)
		case <-c.closed:
		}
	}
	return c.Conn.Read(p)
}

// postpone moves the time limit by the time since a read began, unless it had passed by then.
func (c *hearingConn) postpone(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.After(began) {
		c.deadline = c.deadline.Add(time.Since(began))
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *hearingConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *hearingConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close implements net.Conn.
func (c *hearingConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
