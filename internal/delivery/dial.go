package delivery

import (
	"context"
	"net"
)

// Dial connects to an address, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)
