package delivery

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket asks the system about a connection. It knows nothing of one that is no socket.
type socket struct{ raw syscall.RawConn }

func socketOf(conn net.Conn) socket {
	for inner, wrapped := conn.(wrapper); wrapped; inner, wrapped = conn.(wrapper) {
		conn = inner.NetConn()
	}
	system, ok := conn.(syscall.Conn)
	if !ok {
		return socket{}
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return socket{}
	}
	return socket{raw: raw}
}

// Unacknowledged returns how many of the bytes that were written to a connection the other side's system has not acknowledged,
// 0 if the connection cannot tell.
func Unacknowledged(conn net.Conn) int { return socketOf(conn).unacknowledged() }

// unacknowledged returns how many of the bytes that were written the other side's system has not acknowledged.
func (s socket) unacknowledged() int {
	count := 0
	s.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			count = n
		}
	})
	return count
}

// progress returns the same, and how many have been acknowledged, and how many have been received, since the connection was made.
func (s socket) progress() (underWay int, acknowledged, received uint64) {
	s.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged, received = info.Bytes_acked, info.Bytes_received
		}
	})
	return s.unacknowledged(), acknowledged, received
}

// abortOnClose makes the system discard what is under way when the connection is closed, or go on sending it.
func (s socket) abortOnClose(abort bool) {
	linger := unix.Linger{}
	if abort {
		linger.Onoff = 1
	}
	s.control(func(fd int) { _ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger) }) // it fails on no open socket
}

// control calls do with the descriptor, unless the connection is closed.
func (s socket) control(do func(fd int)) {
	if s.raw != nil {
		_ = s.raw.Control(func(fd uintptr) { do(int(fd)) }) // it fails only on a closed connection, on which nothing is left to do
	}
}
