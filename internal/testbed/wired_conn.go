package testbed

import (
	"net"
	"sync"
)

// wiredConn is a connection between two daemons. While they are cut off from
// each other, nothing passes in either direction and neither side is told.
type wiredConn struct {
	net.Conn
	wiring *wiring
	from   place
	to     string
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *wiredConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.await()
	return count, err
}

// Write implements net.Conn.
func (c *wiredConn) Write(data []byte) (int, error) {
	c.await()
	return c.Conn.Write(data)
}

// Close implements net.Conn. The other side learns of it only when the
// connection is not cut.
func (c *wiredConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	held, changed := c.wiring.state(c.from, c.to)
	if !held {
		return c.Conn.Close()
	}
	go func() {
		for held {
			<-changed
			held, changed = c.wiring.state(c.from, c.to)
		}
		_ = c.Conn.Close()
	}()
	return nil
}

// await returns when the connection is not cut, or closed.
func (c *wiredConn) await() {
	for {
		held, changed := c.wiring.state(c.from, c.to)
		if !held {
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}
