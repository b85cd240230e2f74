package delivery

import (
	"context"
	"net"
	"time"
)

// Dial connects to an address, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Within returns a Dial that fails if a connection is not established within timeout.
func (d Dial) Within(timeout time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}
