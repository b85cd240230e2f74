package traffic

import "net"

// conn is a net.Conn that counts its bytes.
type conn struct {
	net.Conn
	counter *Counter
}

// WrapConn wraps a connection so that counter counts its bytes.
func WrapConn(inner net.Conn, counter *Counter) net.Conn {
	return &conn{Conn: inner, counter: counter}
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
