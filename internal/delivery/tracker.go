package delivery

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Tracker knows the open connections of a daemon to other processes.
type Tracker struct {
	report atomic.Pointer[func(Undelivered)]

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker { return &Tracker{conns: map[*Conn]struct{}{}} }

// Report makes the tracker call report for each connection that is closed over unacknowledged bytes.
func (t *Tracker) Report(report func(Undelivered)) { t.report.Store(&report) }

// Dial returns a Dial whose connections are tracked.
func (t *Tracker) Dial(to Peer, dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.Track(to, address, raw), nil
	}
}

// Track returns a connection to an address that is tracked until it is closed.
func (t *Tracker) Track(to Peer, address string, raw net.Conn) *Conn {
	c := newConn(t, to, address, raw)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c
}

// WithdrawStalled resets the connections to a kind of process, at the addresses for which unwanted holds, on which something is
// under way that does not arrive. It is to be called every 100 ms, by one goroutine, and returns how many it has reset.
func (t *Tracker) WithdrawStalled(to Peer, unwanted func(address string) bool) int {
	count := 0
	for _, c := range t.open(func(c *Conn) bool { return c.to == to && unwanted(c.address) }) {
		if c.stalled() {
			c.withdraw()
			count++
		}
	}
	return count
}

// Unacknowledged returns the bytes under way on all connections to a kind of process.
func (t *Tracker) Unacknowledged(to Peer) int {
	total := 0
	for _, c := range t.open(func(c *Conn) bool { return c.to == to }) {
		total += c.Unacknowledged()
	}
	return total
}

// open returns the open connections for which a condition holds.
func (t *Tracker) open(condition func(*Conn) bool) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Conn
	for c := range t.conns {
		if condition(c) {
			found = append(found, c)
		}
	}
	return found
}

func (t *Tracker) closed(c *Conn, unacknowledged int) {
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	if report := t.report.Load(); report != nil && unacknowledged > 0 {
		(*report)(Undelivered{To: c.to, Address: c.address, Bytes: unacknowledged})
	}
}
