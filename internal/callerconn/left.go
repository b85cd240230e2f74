package callerconn

import (
	"context"
	"errors"
	"net"
	"syscall"
)

type connKey struct{}

// withConn returns a context that holds the connection of a caller.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Left reports whether the caller whose connection ctx holds has closed it. The server notices that
// by itself, but possibly only after it has handed over a request that waited unread. Under TLS the
// record that closes a connection counts as unread bytes, so that only a connection that broke is told.
func Left(ctx context.Context) bool {
	c := trackedOf(connOf(ctx))
	if c == nil {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control, as the server's own read holds the lock that Read takes.
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}

func connOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}
