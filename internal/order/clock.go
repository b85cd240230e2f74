package order

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// incarnationSeparator parts a daemon's name from the number of its stream's
// incarnation in the name of a writer.
const incarnationSeparator = "/"

const (
	// tickPeriod is how long a daemon that follows a slot with keys lets pass
	// between two records of its own.
	tickPeriod = 15 * time.Minute
	// creditLimit bounds the time that a daemon vouches for by one record.
	creditLimit = 2 * tickPeriod
	// lifetimeMargin is added to the lifetime of a key. It covers the first
	// record of a daemon after the claim, whose credit may date from before it,
	// and one forward step of each clock.
	lifetimeMargin = 2 * creditLimit
	// loneLag is how far the stream's time stays behind a daemon that alone
	// vouches for it.
	loneLag = 24 * time.Hour
	// witnessLimit bounds the daemons that a clock remembers.
	witnessLimit = 256
)

// clock is the time of a stream. It starts at the first writer's time and
// advances by the time that passed between two records of one daemon, so that a
// clock that is ahead or behind by any fixed time has no effect. It is the time
// that two daemons vouch for, or one of them alone and a long while later.
type clock struct {
	Millis    int64              `cbor:"1,keyasint"` // Unix milliseconds of the first writer
	Witnesses map[string]witness `cbor:"2,keyasint"` // by daemon
}

// observe takes in the writer's clock of one record.
func (c *clock) observe(at logstream.Position) {
	daemon, _, _ := strings.Cut(at.Writer, incarnationSeparator)
	reading := at.Time.UnixMilli()
	known, ok := c.Witnesses[daemon]
	if !ok {
		c.admit(daemon, reading)
		return
	}
	c.Witnesses[daemon] = known.read(reading)
	c.advance()
}

// admit adds a daemon that was not heard before, or was forgotten. It vouches
// for no time before its first record.
func (c *clock) admit(daemon string, reading int64) {
	if c.Witnesses == nil {
		c.Witnesses = map[string]witness{}
	}
	if len(c.Witnesses) == 0 && c.Millis == 0 {
		c.Millis = reading
	}
	c.forget()
	c.Witnesses[daemon] = witness{Ahead: reading - c.Millis, Reached: c.Millis}
}

// forget drops the daemons that cannot advance the stream's time soon, and the
// rearmost when there are too many.
func (c *clock) forget() {
	rearmost := ""
	for daemon, known := range c.Witnesses {
		if known.Reached < c.Millis-loneLag.Milliseconds() {
			delete(c.Witnesses, daemon)
			continue
		}
		order := cmp.Or(cmp.Compare(known.Reached, c.Witnesses[rearmost].Reached), cmp.Compare(daemon, rearmost))
		if rearmost == "" || order < 0 {
			rearmost = daemon
		}
	}
	if len(c.Witnesses) >= witnessLimit {
		delete(c.Witnesses, rearmost)
	}
}

// advance moves the stream's time, never back.
func (c *clock) advance() {
	first, second := c.Millis, c.Millis
	for _, known := range c.Witnesses {
		second = max(second, min(first, known.Reached))
		first = max(first, known.Reached)
	}
	c.Millis = max(second, first-loneLag.Milliseconds())
}

// clone returns a copy that shares nothing.
func (c *clock) clone() clock {
	return clock{Millis: c.Millis, Witnesses: maps.Clone(c.Witnesses)}
}

// now returns the stream's time in Unix milliseconds.
func (c *clock) now() int64 {
	return c.Millis
}

// knows reports whether a daemon wrote lately by its own clock.
func (c *clock) knows(daemon string, now time.Time) bool {
	known, ok := c.Witnesses[daemon]
	return ok && known.latest() >= now.Add(-tickPeriod).UnixMilli()
}
