// Package traffic counts the bytes that a daemon exchanges, by the kind of its
// counterpart.
package traffic

import "sync/atomic"

// Counter counts bytes on the wire, without those of IP and TCP headers.
type Counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes sent.
func (c *Counter) Sent() uint64 { return c.sent.Load() }

// Received returns the bytes received.
func (c *Counter) Received() uint64 { return c.received.Load() }
