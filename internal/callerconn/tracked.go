package callerconn

import (
	"container/list"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// tracked is an accepted connection. Its fields but the atomic ones are guarded by the mutex of its Listener.
type tracked struct {
	net.Conn
	listener *Listener
	state    state
	since    time.Time     // when it took that state
	timeouts Timeouts      // in force then
	reading  atomic.Int64  // Unix nanoseconds at which the first byte arrived since it took that state; 0: none has
	received atomic.Uint64 // bytes read
	head     head
	upload   *list.Element // in the list of uploads; nil: the request in progress has arrived whole, or there is none
	needless bool          // the upload's request has its answer
	yields   bool          // it is to be closed since its request did not arrive
	looks    int           // since the first byte of a request that has not begun
	lookedAt time.Time     // last, to make room
	waiting  *list.Element // in the list of its state; nil: busy or closed

	lingering atomic.Bool // it is closed once its last answer has arrived
	hijacked  atomic.Bool // it has left the server

	writeLimited atomic.Bool // the server or a handler has set a deadline of writes
	yielded      atomic.Bool // its request is not read any further, and it is closed
	encrypted    bool        // what is read from it is not what the server reads; set before it is served
}

// Read implements net.Conn. What has arrived is read past the deadline too, which may have passed while the process
// stood still.
func (c *tracked) Read(into []byte) (int, error) {
	switch {
	case c.hijacked.Load():
		return c.Conn.Read(into)
	case c.yielded.Load():
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(into)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.yielded.Load() {
		if n = c.readArrived(into); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		if c.reading.Load() == 0 {
			c.reading.Store(time.Now().UnixNano())
		}
		c.received.Add(uint64(n)) // last, as unread tells from it what reading does not show yet
		if !c.encrypted {
			if refused := c.listener.countHead(c, into[:n], len(into)); refused != headAllowed {
				return 0, c.refuse(c.Conn, refused)
			}
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *tracked) Close() error {
	if c.hijacked.Load() {
		return c.Conn.Close()
	}
	kept := c.linger()
	c.listener.move(c, closed)
	if kept {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite tells the caller that nothing more is sent. The server does so before it waits for a caller
// whose body it does not read.
func (c *tracked) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (c *tracked) SyscallConn() (syscall.RawConn, error) {
	conn := c.Conn
	for inner, wrapped := conn.(interface{ NetConn() net.Conn }); wrapped; inner, wrapped = conn.(interface{ NetConn() net.Conn }) {
		conn = inner.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// trackedOf returns the tracked connection below one that a server was given, or nil.
func trackedOf(conn net.Conn) *tracked {
	switch conn := conn.(type) {
	case *tracked:
		return conn
	case *secured:
		return conn.tracked
	case *tls.Conn:
		return trackedOf(conn.NetConn())
	}
	return nil
}
