package peer

import (
	"sync"
	"time"
)

// Stamp is a reading of a daemon's own clock: milliseconds since it started.
type Stamp int64

// driftShare is the rate at which a bound on another daemon's clock loosens, so
// that clocks that run at slightly different rates never break it.
const driftShare = 1000

// remoteClock relates another daemon's clock to the own one. It needs no common
// time: the other daemon returns the newest own stamp that it has received, so
// what it wrote along with it was written after that stamp.
type remoteClock struct {
	mu       sync.Mutex
	bounded  bool
	offset   Stamp // own clock minus the other's is at least this
	at       Stamp // own clock when the offset was learnt
	received Stamp // newest stamp of the other daemon
	arrived  Stamp // own clock when it came
}

// note takes in a clock frame: the other daemon's stamp, the own stamp that it
// returns, and how long it held that.
func (c *remoteClock) note(now, stamp, echo, held Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.arrived = stamp, now
	if echo == 0 {
		return
	}
	// Stamps round down, so the other clock may be up to one further.
	offset := echo + held - stamp - 1
	if !c.bounded || offset >= c.offsetAt(now) {
		c.bounded, c.offset, c.at = true, offset, now
	}
}

// offsetAt returns the offset as loosened by drift. The caller holds mu.
func (c *remoteClock) offsetAt(now Stamp) Stamp {
	return c.offset - (now-c.at)/driftShare - 1
}

// earliest returns a reading of the own clock that is not later than the moment
// when the other one showed stamp.
func (c *remoteClock) earliest(now, stamp Stamp) (Stamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bounded {
		return 0, false
	}
	return min(now, stamp+c.offsetAt(now)), true
}

// echo returns the newest stamp received and how long it has been held.
func (c *remoteClock) echo(now Stamp) (received, held Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == 0 {
		return 0, 0
	}
	return c.received, max(0, now-c.arrived-1)
}

// since converts a length of time to stamps.
func since(start, now time.Time) Stamp {
	return Stamp(now.Sub(start) / time.Millisecond)
}
