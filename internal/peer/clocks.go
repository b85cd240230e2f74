package peer

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// clockHeartbeats is the interval between two clock frames on a link, in
// heartbeats.
const clockHeartbeats = 5

// clocks holds the local clock and the estimates of the clocks of other
// daemons. An estimate survives the replacement of a link.
type clocks struct {
	start time.Time

	mu     sync.Mutex
	remote map[fleet.DaemonID]*remoteClock
}

func newClocks() *clocks {
	return &clocks{start: time.Now(), remote: map[fleet.DaemonID]*remoteClock{}}
}

// now reads the local clock. It never returns zero, which means that there is
// no timestamp.
func (c *clocks) now() Timestamp { return elapsed(c.start, time.Now()) + 1 }

func (c *clocks) of(daemon fleet.DaemonID) *remoteClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	clock, ok := c.remote[daemon]
	if !ok {
		clock = &remoteClock{}
		c.remote[daemon] = clock
	}
	return clock
}

// retain deletes the clocks of all daemons without a link.
func (c *clocks) retain(links map[fleet.DaemonID]*link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for daemon := range c.remote {
		if _, ok := links[daemon]; !ok {
			delete(c.remote, daemon)
		}
	}
}

// Now reads the local clock.
func (n *Network) Now() Timestamp { return n.clocks.now() }

// TimestampAt returns the reading of the local clock at a given time.
func (n *Network) TimestampAt(at time.Time) Timestamp { return elapsed(n.clocks.start, at) + 1 }

// EarliestTime returns a time that is no later than the moment at which the clock
// of another daemon showed timestamp, however long the message was in transit. It
// returns false while the offset of that clock is unknown.
func (n *Network) EarliestTime(from fleet.DaemonID, timestamp Timestamp) (time.Time, bool) {
	own, ok := n.clocks.of(from).earliest(n.clocks.now(), timestamp)
	return n.clocks.start.Add(time.Duration(own-1) * time.Millisecond), ok
}

// clockFrame encodes a clock frame for the other side of a link, nil on
// failure.
func (l *link) clockFrame() []byte {
	now := l.network.clocks.now()
	received, held := l.clock.echo(now)
	data, err := encodeFrame(frame{Kind: frameClock, ID: uint64(now), Echo: received, Held: held})
	if err != nil {
		return nil
	}
	l.lastClock.Store(int64(now))
	return data
}

// handleClock processes a clock frame. The first one is answered at once, so
// that the other side need not wait for the next regular clock frame.
func (l *link) handleClock(f frame) {
	l.clock.update(l.network.clocks.now(), Timestamp(f.ID), f.Echo, f.Held)
	if f.Echo == 0 || l.clockAnswered.CompareAndSwap(false, true) {
		l.network.sendClock(l)
	}
}

// sendClock queues a clock frame.
func (n *Network) sendClock(l *link) { l.queue.pushClock(l.clockFrame()) }
