package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unread reports whether bytes of the caller have arrived that the server has not read yet, or is reading: the
// system counts more than Read has returned. It takes a connection that cannot tell for one without any.
func (c *tracked) unread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	// Control, as the server's own read holds the lock that Read takes.
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && !arrived {
			arrived = info.Bytes_received > c.received.Load()
		}
	})
	return err == nil && arrived
}

// readArrived reads what has arrived, without waiting for more. It returns the number of bytes.
func (c *tracked) readArrived(into []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	read := 0
	_ = raw.Control(func(fd uintptr) {
		if n, _, err := syscall.Recvfrom(int(fd), into, syscall.MSG_DONTWAIT); err == nil {
			read = n
		}
	})
	return read
}
