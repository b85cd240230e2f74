package peer

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// clockHeartbeats is how many heartbeats pass between two clock frames of a
// link.
const clockHeartbeats = 5

// clocks holds the clocks of the other daemons. They outlive links.
type clocks struct {
	start time.Time

	mu     sync.Mutex
	remote map[fleet.DaemonID]*remoteClock
}

func newClocks() *clocks {
	return &clocks{start: time.Now(), remote: map[fleet.DaemonID]*remoteClock{}}
}

// now reads the own clock. It is never zero, which stands for no stamp.
func (c *clocks) now() Stamp { return since(c.start, time.Now()) + 1 }

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

// keep forgets the clocks of all daemons but those with a link.
func (c *clocks) keep(links map[fleet.DaemonID]*link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for daemon := range c.remote {
		if _, ok := links[daemon]; !ok {
			delete(c.remote, daemon)
		}
	}
}

// Stamp reads the own clock.
func (n *Network) Stamp() Stamp { return n.clocks.now() }

// StampAt returns what the own clock showed at a time.
func (n *Network) StampAt(at time.Time) Stamp { return since(n.clocks.start, at) + 1 }

// Earliest returns a time that is not later than the moment when the clock of
// another daemon showed stamp, however long the message took. It returns false
// while too little is known of that clock.
func (n *Network) Earliest(from fleet.DaemonID, stamp Stamp) (time.Time, bool) {
	own, ok := n.clocks.of(from).earliest(n.clocks.now(), stamp)
	return n.clocks.start.Add(time.Duration(own-1) * time.Millisecond), ok
}

// clockFrame reads the own clock for the other side of a link.
func (l *link) clockFrame() []byte {
	now := l.owner.clocks.now()
	received, held := l.clock.echo(now)
	data, err := encodeFrame(frame{Kind: frameClock, ID: uint64(now), Echo: received, Held: held})
	if err != nil {
		return nil
	}
	l.lastClock.Store(int64(now))
	return data
}

// noteClock takes in a clock frame. The first one is answered at once, so that
// the other side need not wait for a heartbeat.
func (l *link) noteClock(f frame) {
	l.clock.note(l.owner.clocks.now(), Stamp(f.ID), f.Echo, f.Held)
	if f.Echo == 0 || l.greeted.CompareAndSwap(false, true) {
		l.owner.tellClock(l)
	}
}

// tellClock queues a clock frame. A full queue has better uses.
func (n *Network) tellClock(l *link) {
	_ = l.queue.tryPush(l.clockFrame())
}
