package daemon

import (
	"context"
	"net"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

// trackedDial returns a Dial for a kind of process whose connections are tracked, and their bytes counted.
func trackedDial(tracker *delivery.Tracker, to delivery.Peer, counter *traffic.Counter) delivery.Dial {
	dial := tracker.Dial(to, (&net.Dialer{}).DialContext)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return traffic.WrapConn(conn, counter), nil
	}
}
