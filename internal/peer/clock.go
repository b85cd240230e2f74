package peer

import (
	"sync"
	"time"
)

// Timestamp is a reading of a daemon's monotonic clock: milliseconds since the
// daemon started, plus one.
type Timestamp int64

// driftDivisor gives the assumed maximum clock drift, as 1/driftDivisor of the
// elapsed time. The bound on another daemon's clock loosens at this rate, so
// that it holds for clocks that run at slightly different rates.
const driftDivisor = 1000

// remoteClock relates another daemon's clock to the local one without a common
// time source. The other daemon echoes the newest local timestamp that it has
// received, so the timestamp that it sends along was read after the echoed one.
type remoteClock struct {
	mu         sync.Mutex
	bounded    bool
	offset     Timestamp // lower bound of the local clock minus the other one
	offsetTime Timestamp // local clock when the offset was computed
	upper      Timestamp // upper bound of the same
	upperTime  Timestamp // local clock when it was computed; 0: never
	received   Timestamp // newest timestamp of the other daemon
	receivedAt Timestamp // local clock when that timestamp was received
}

// update processes a clock frame: the other daemon's timestamp, the local timestamp
// that it echoes, and how long it held the echoed timestamp.
func (c *remoteClock) update(now, timestamp, echo, held Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.receivedAt = timestamp, now
	// Timestamps are rounded down, so either clock may be up to 1 ms ahead of its timestamp.
	upper := now - timestamp + 1
	if c.upperTime == 0 || upper <= c.upperAt(now) {
		c.upper, c.upperTime = upper, now
	}
	offset := echo + held - timestamp - 1
	if echo != 0 && (!c.bounded || offset >= c.offsetAt(now)) {
		c.bounded, c.offset, c.offsetTime = true, offset, now
	}
	if c.bounded && c.offsetAt(now) > c.upperAt(now) { // one of the clocks stood, as that of a machine that is suspended
		c.upper, c.upperTime = upper, now
		c.bounded, c.offset, c.offsetTime = echo != 0 && offset <= upper, offset, now
	}
}

// offsetAt returns the offset, reduced by the possible drift since it was
// computed. The caller holds mu.
func (c *remoteClock) offsetAt(now Timestamp) Timestamp {
	return c.offset - (now-c.offsetTime)/driftDivisor - 1
}

// upperAt returns the upper bound, raised in the same way. The caller holds mu.
func (c *remoteClock) upperAt(now Timestamp) Timestamp {
	return c.upper + (now-c.upperTime)/driftDivisor + 1
}

// latest returns a local clock reading that is no earlier than the moment at which the other clock showed timestamp. It is
// later by no more than the shortest time that a frame has taken, however long a round trip takes.
func (c *remoteClock) latest(now, timestamp Timestamp) (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bounded {
		return 0, false
	}
	return min(now, timestamp+c.upperAt(now)), true
}

// earliest returns a local clock reading that is no later than the moment at
// which the other clock showed timestamp. It returns false while the offset is
// unknown.
func (c *remoteClock) earliest(now, timestamp Timestamp) (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bounded {
		return 0, false
	}
	return min(now, timestamp+c.offsetAt(now)), true
}

// echo returns the newest timestamp received and for how long it has been held.
func (c *remoteClock) echo(now Timestamp) (received, held Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == 0 {
		return 0, 0
	}
	return c.received, max(0, now-c.receivedAt-1)
}

// elapsed returns the time between two instants in the unit of timestamps.
func elapsed(start, now time.Time) Timestamp {
	return Timestamp(now.Sub(start) / time.Millisecond)
}
