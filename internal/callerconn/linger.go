package callerconn

import (
	"errors"
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/delivery"
)

const (
	lingerPatience = 5 * time.Second       // for the rest of an answer: as long as a write of an event may take (callerapi)
	lingerInterval = 20 * time.Millisecond // between the first two looks at what has arrived, doubled up to lingerLongest
	// lingerLongest is between two later looks: each costs some 7 us (1,000 connections at 20 ms: a third of a processor).
	lingerLongest = 320 * time.Millisecond
	lingerBytes   = 16 << 10 // read at once
	lingerShare   = 8        // one connection for so many of the limit is kept so, as callers need not read
)

// linger closes a connection once the caller's system has taken all that was written, or the caller has sent its last byte:
// a close over bytes that are not read resets it, which destroys what has not arrived. It returns false if the connection is
// to be closed at once.
func (c *tracked) linger() bool {
	if delivery.Unacknowledged(c) == 0 || c.lingering.Swap(true) {
		return false
	}
	if c.listener.lingering.Add(1) > int64(max(c.listener.limit/lingerShare, 1)) || c.CloseWrite() != nil {
		c.listener.lingering.Add(-1)
		return false
	}
	go c.closeDelivered()
	return true
}

func (c *tracked) closeDelivered() {
	defer c.listener.lingering.Add(-1)
	defer func() { _ = c.Conn.Close() }()
	rest := make([]byte, lingerBytes)
	interval := lingerInterval
	for end := awake.NewDeadline(time.Now().Add(lingerPatience)); !end.Passed(time.Now()) && delivery.Unacknowledged(c) > 0; {
		_ = c.Conn.SetReadDeadline(time.Now().Add(interval))
		interval = min(2*interval, lingerLongest)
		if _, err := c.Conn.Read(rest); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}
