package fakes

import (
	"net"
	"sync"
	"syscall"
)

// linkConn is a connection over a Link. While the link hangs or is silent, nothing passes.
type linkConn struct {
	net.Conn
	link   *Link
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waited := c.wait(); waited != nil {
		return 0, waited
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// wait blocks while nothing passes. It fails if the connection is closed meanwhile.
func (c *linkConn) wait() error {
	for {
		fault, changed := c.link.state()
		if fault != LinkHangs && fault != LinkSilent {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.conns, c)
	})
	return c.Conn.Close()
}
