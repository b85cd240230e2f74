package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// socketShare of the memory is for the queues of connections, in each direction: the system counts what has been
	// received and not read, and what has been written and not taken, as memory of the VM.
	socketShare    = 0.125
	minSocketBytes = 8 << 10
	maxSocketBytes = 256 << 10
)

// SocketBytes returns how much each connection may queue in each direction in a process that may use an amount of
// memory, 0 if that is not limited.
func SocketBytes(memory int64, connections int) int {
	if memory <= 0 {
		return 0
	}
	return int(min(max(socketShare*float64(memory)/float64(connections), minSocketBytes), maxSocketBytes))
}

// Listen listens for connections that queue at most an amount of bytes in each direction, 0 for what the system allows.
func Listen(address string, socketBytes int) (net.Listener, error) {
	var config net.ListenConfig
	if socketBytes > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} { // accepted connections inherit them
					_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, socketBytes/2) // the system doubles it
				}
			})
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}
