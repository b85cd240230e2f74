package testbed

import (
	"net"
	"sync"
)

// networkConn is a connection between two daemons. While the network between them
// is blocked, no data passes in either direction and neither side gets an error.
type networkConn struct {
	net.Conn
	network *peerNetwork
	from    location
	to      string
	once    sync.Once
	closed  chan struct{}
}

// Read implements net.Conn.
func (c *networkConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.awaitUnblocked()
	return count, err
}

// Write implements net.Conn.
func (c *networkConn) Write(data []byte) (int, error) {
	c.awaitUnblocked()
	return c.Conn.Write(data)
}

// Close implements net.Conn. The peer sees the close only when the
// network is no longer blocked.
func (c *networkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	blocked, changed := c.network.blocked(c.from, c.to)
	if !blocked {
		return c.Conn.Close()
	}
	go func() {
		for blocked {
			<-changed
			blocked, changed = c.network.blocked(c.from, c.to)
		}
		_ = c.Conn.Close()
	}()
	return nil
}

// awaitUnblocked blocks until the network is not blocked or the connection is
// closed on this side.
func (c *networkConn) awaitUnblocked() {
	for {
		blocked, changed := c.network.blocked(c.from, c.to)
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}
