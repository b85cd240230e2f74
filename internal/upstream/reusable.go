package upstream

import (
	"errors"
	"net"
	"syscall"
)

// quiet reports whether an idle connection is open and holds nothing to read.
// Bytes that came after an answer belong to no request.
func quiet(raw net.Conn) bool {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothing
}
