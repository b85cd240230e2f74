package order

import (
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// incarnationSeparator parts a daemon's name from the number of its stream's
// incarnation in the name of a writer.
const incarnationSeparator = "/"

// reading is the latest time that one daemon wrote.
type reading struct {
	Daemon string `cbor:"1,keyasint"`
	Millis int64  `cbor:"2,keyasint"`
}

// clock is the time of a stream: the latest time that two daemons have both
// reached. One daemon's wrong clock never advances it.
type clock struct {
	First  reading `cbor:"1,keyasint"`
	Second reading `cbor:"2,keyasint"`
}

// observe takes in the writer's clock of one record.
func (c *clock) observe(at logstream.Position) {
	daemon, _, _ := strings.Cut(at.Writer, incarnationSeparator)
	seen := reading{Daemon: daemon, Millis: at.Time.UnixMilli()}
	switch {
	case seen.Daemon == c.First.Daemon:
		c.First.Millis = max(c.First.Millis, seen.Millis)
	case seen.Millis > c.First.Millis:
		c.First, c.Second = seen, c.First
	case seen.Millis > c.Second.Millis:
		c.Second = seen
	}
}

// now returns the stream's time in Unix milliseconds, zero before two daemons
// have written.
func (c *clock) now() int64 {
	return c.Second.Millis
}

// lags reports whether the stream's time is far behind a daemon's own.
func (c *clock) lags(now time.Time) bool {
	return now.UnixMilli()-c.now() > tickBound.Milliseconds()
}

// knows reports whether a daemon's latest reading is recent.
func (c *clock) knows(daemon string, now time.Time) bool {
	recent := now.Add(-tickBound).UnixMilli()
	return c.First.Daemon == daemon && c.First.Millis >= recent
}
