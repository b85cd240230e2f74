package delivery

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Conn is a tracked connection. Closing it withdraws what is under way: the other side gets no byte that has not reached
// its system by then. That holds for the end of the process too.
type Conn struct {
	net.Conn
	tracker *Tracker
	to      Peer
	address string
	socket  socket
	writing atomic.Int32
	closing atomic.Bool

	read      atomic.Uint64 // bytes that Read has returned
	before    atomic.Uint64 // of these, before the last write
	withdrawn atomic.Bool
	stall     stall // by the tracker alone
}

func newConn(tracker *Tracker, to Peer, address string, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, tracker: tracker, to: to, address: address, socket: socketOf(raw)}
	c.socket.abortOnClose(true)
	return c
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

// Read implements net.Conn. It fails with a WithdrawnError once the connection has been withdrawn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(uint64(n))
	return n, c.failure(err)
}

// failure returns the reason for which an operation failed.
func (c *Conn) failure(err error) error {
	if err != nil && c.withdrawn.Load() {
		return &WithdrawnError{Address: c.address}
	}
	return err
}

// Write implements net.Conn. It fails with a WithdrawnError once the connection has been withdrawn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	if c.closing.Load() {
		return 0, c.failure(net.ErrClosed)
	}
	c.before.Store(c.read.Load())
	n, err := c.Conn.Write(p)
	return n, c.failure(err)
}

// stalled looks at the connection, and reports whether what was written last does not arrive. It does if the other side
// answers, even if that waits unread: it may answer a long request before it has read all of it.
func (c *Conn) stalled() bool {
	underWay, acknowledged, received := c.socket.progress()
	return c.stall.look(underWay, acknowledged) && received <= c.before.Load()
}

// withdraw resets the connection.
func (c *Conn) withdraw() {
	c.withdrawn.Store(true)
	_ = c.Close()
}

// Close implements net.Conn. It resets the connection only if something is under way: a reset may destroy what the other
// side has sent or not read yet.
func (c *Conn) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	unacknowledged := c.Unacknowledged()
	if unacknowledged == 0 && c.writing.Load() == 0 {
		c.socket.abortOnClose(false)
	}
	err := c.Conn.Close()
	c.tracker.closed(c, unacknowledged)
	return err
}
