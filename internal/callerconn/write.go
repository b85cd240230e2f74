package callerconn

import "time"

// LimitWrites limits each write to a connection that has no deadline of its own, from its beginning: a caller that has
// sent requests ahead and reads no answers would block it for ever. A deadline that is set as an answer is handed over
// may have passed when the server writes it, which waits for the rest of a body before. It is to be called before Accept.
func (l *Listener) LimitWrites(patience time.Duration) { l.writePatience = patience }

// Write implements net.Conn.
func (c *tracked) Write(data []byte) (int, error) {
	if patience := c.listener.writePatience; patience > 0 && !c.writeLimited.Load() && !c.hijacked.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(patience))
	}
	return c.Conn.Write(data)
}

// SetWriteDeadline implements net.Conn.
func (c *tracked) SetWriteDeadline(at time.Time) error {
	c.writeLimited.Store(!at.IsZero())
	return c.Conn.SetWriteDeadline(at)
}
