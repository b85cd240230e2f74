package callerconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// readUrgent has the urgent data of a connection read as any other: the system counts it as received, so that unread
// would report it for ever. A listener cannot hand the option on, as it may be one of MPTCP.
func readUrgent(conn net.Conn) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_OOBINLINE, 1) })
	}
}
