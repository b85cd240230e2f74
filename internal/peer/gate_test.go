package peer

import (
	"context"
	"net"
	"sync"
)

// gate can stall the traffic of its connections in both directions.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // a closed channel lets traffic flow
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) current() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-g.current():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g, closed: make(chan struct{})}, nil
}

// gatedConn is a connection whose traffic a gate can stall.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func (c *gatedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.await()
	return count, err
}

func (c *gatedConn) Write(data []byte) (int, error) {
	c.await()
	return c.Conn.Write(data)
}

// Close closes the underlying connection only once the gate is open, so that
// the other side does not notice earlier.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	open := c.gate.current()
	go func() {
		<-open
		_ = c.Conn.Close()
	}()
	return nil
}

func (c *gatedConn) await() {
	select {
	case <-c.gate.current():
	case <-c.closed:
	}
}

// dialByAddress returns a dial function that uses direct for the addresses
// marked in own and gated for the others.
func dialByAddress(own map[string]bool, direct, gated func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if own[address] {
			return direct(ctx, network, address)
		}
		return gated(ctx, network, address)
	}
}
