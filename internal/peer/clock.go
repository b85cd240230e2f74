package peer

import (
	"sync"
	"time"
)

// Stamp is a reading of a daemon's monotonic clock: milliseconds since the
// daemon started, plus one.
type Stamp int64

// driftDivisor gives the assumed maximum clock drift, as 1/driftDivisor of the
// elapsed time. The bound on another daemon's clock loosens at this rate, so
// that it holds for clocks that run at slightly different rates.
const driftDivisor = 1000

// remoteClock relates another daemon's clock to the local one without a common
// time source. The other daemon echoes the newest local stamp that it has
// received, so the stamp that it sends along was read after the echoed one.
type remoteClock struct {
	mu         sync.Mutex
	bounded    bool
	offset     Stamp // lower bound of the local clock minus the other one
	offsetTime Stamp // local clock when the offset was computed
	received   Stamp // newest stamp of the other daemon
	receivedAt Stamp // local clock when that stamp was received
}

// update processes a clock frame: the other daemon's stamp, the local stamp
// that it echoes, and how long it held the echoed stamp.
func (c *remoteClock) update(now, stamp, echo, held Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.receivedAt = stamp, now
	if echo == 0 {
		return
	}
	// Stamps are rounded down, so the other clock may be up to 1 ms ahead of its stamp.
	offset := echo + held - stamp - 1
	if !c.bounded || offset >= c.offsetAt(now) {
		c.bounded, c.offset, c.offsetTime = true, offset, now
	}
}

// offsetAt returns the offset, reduced by the possible drift since it was
// computed. The caller holds mu.
func (c *remoteClock) offsetAt(now Stamp) Stamp {
	return c.offset - (now-c.offsetTime)/driftDivisor - 1
}

// earliest returns a local clock reading that is no later than the moment at
// which the other clock showed stamp. It returns false while the offset is
// unknown.
func (c *remoteClock) earliest(now, stamp Stamp) (Stamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bounded {
		return 0, false
	}
	return min(now, stamp+c.offsetAt(now)), true
}

// echo returns the newest stamp received and for how long it has been held.
func (c *remoteClock) echo(now Stamp) (received, held Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == 0 {
		return 0, 0
	}
	return c.received, max(0, now-c.receivedAt-1)
}

// elapsed returns the time between two instants in the unit of stamps.
func elapsed(start, now time.Time) Stamp {
	return Stamp(now.Sub(start) / time.Millisecond)
}
