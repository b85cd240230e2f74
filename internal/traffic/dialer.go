package traffic

import (
	"context"
	"net"
	"time"
)

// Dialer dials connections and counts their bytes.
type Dialer struct {
	dialer  net.Dialer
	counter *Counter
}

// NewDialer returns a dialer that fails if a connection is not established within
// timeout.
func NewDialer(timeout time.Duration, counter *Counter) *Dialer {
	return &Dialer{dialer: net.Dialer{Timeout: timeout}, counter: counter}
}

// DialContext connects to an address as net.Dialer does.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return WrapConn(inner, d.counter), nil
}
