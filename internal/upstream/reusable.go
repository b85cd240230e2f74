package upstream

import (
	"errors"
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no bytes to read. Bytes
// after the end of a response belong to no request.
func reusable(raw net.Conn) bool {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		drained = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && drained
}
