package delivery

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Conn is a tracked connection.
type Conn struct {
	net.Conn
	tracker *Tracker
	to      Peer
	address string
	socket  socket
	closing atomic.Bool
}

func newConn(tracker *Tracker, to Peer, address string, raw net.Conn) *Conn {
	return &Conn{Conn: raw, tracker: tracker, to: to, address: address, socket: socketOf(raw)}
}

// Unacknowledged returns how many of the bytes that were written the other side's system has not acknowledged.
func (c *Conn) Unacknowledged() int { return c.socket.unacknowledged() }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.socket.raw == nil {
		return nil, syscall.EINVAL
	}
	return c.socket.raw, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	unacknowledged := c.Unacknowledged()
	err := c.Conn.Close()
	c.tracker.closed(c, unacknowledged)
	return err
}
