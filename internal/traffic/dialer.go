package traffic

import (
	"context"
	"net"
	"time"
)

// Dialer dials connections whose bytes are counted.
type Dialer struct {
	dialer  net.Dialer
	counter *Counter
}

// NewDialer returns a dialer that gives up after timeout.
func NewDialer(timeout time.Duration, counter *Counter) *Dialer {
	return &Dialer{dialer: net.Dialer{Timeout: timeout}, counter: counter}
}

// DialContext dials an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Count(inner, d.counter), nil
}
