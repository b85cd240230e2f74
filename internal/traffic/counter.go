// Package traffic counts the bytes that a daemon sends and receives, with one
// Counter for each kind of remote side.
package traffic

import "sync/atomic"

// Counter counts the bytes of TCP payloads; IP and TCP headers are not
// included. It is safe for concurrent use.
type Counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (c *Counter) Sent() uint64 { return c.sent.Load() }

// Received returns the number of bytes received.
func (c *Counter) Received() uint64 { return c.received.Load() }
