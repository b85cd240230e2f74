package callerconn

import (
	"context"
	"net"
)

type connKey struct{}

// withConn returns a context that holds the connection of a caller.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func connOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}
