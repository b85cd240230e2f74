package order

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// incarnationSeparator separates the daemon's ID from the incarnation number of
// its stream in the name of a writer.
const incarnationSeparator = "/"

const (
	// tickPeriod is the longest time between two records that a daemon writes to
	// a followed slot that holds keys.
	tickPeriod = 15 * time.Minute
	// maxAdvancePerRecord bounds how far one record advances the stream time of
	// its daemon.
	maxAdvancePerRecord = 2 * tickPeriod
	// lifetimeMargin is added to the lifetime of a key. It covers a daemon's first
	// record after the claim, which may count time from before the claim, and one
	// forward step of each clock.
	lifetimeMargin = 2 * maxAdvancePerRecord
	// singleDaemonLag is how far the stream time lags behind the most advanced
	// daemon when no second daemon confirms it.
	singleDaemonLag = 24 * time.Hour
	// maxDaemonClocks bounds the number of daemons that a clock tracks.
	maxDaemonClocks = 256
)

// clock computes the time of a stream from the clocks of the daemons that write to
// it. Stream time starts at the clock of the first writer. For each daemon it
// advances by the time that passed between two of its records, so a constant
// offset of a daemon's clock has no effect. Stream time is the second highest
// value among the daemons, or the highest less singleDaemonLag if that is later.
type clock struct {
	Millis       int64                  `cbor:"1,keyasint"` // stream time, Unix milliseconds by the first writer's clock
	DaemonClocks map[string]daemonClock `cbor:"2,keyasint"` // by daemon ID
}

// observe updates the clock with the writer's time of one record.
func (c *clock) observe(at logstream.Position) {
	daemon, _, _ := strings.Cut(at.Writer, incarnationSeparator)
	reading := at.Time.UnixMilli()
	entry, ok := c.DaemonClocks[daemon]
	if !ok {
		c.add(daemon, reading)
		return
	}
	c.DaemonClocks[daemon] = entry.observe(reading)
	c.advance()
}

// add starts to track a daemon that is new or was pruned. The daemon starts at the
// current stream time.
func (c *clock) add(daemon string, reading int64) {
	if c.DaemonClocks == nil {
		c.DaemonClocks = map[string]daemonClock{}
	}
	if len(c.DaemonClocks) == 0 && c.Millis == 0 {
		c.Millis = reading
	}
	c.prune()
	c.DaemonClocks[daemon] = daemonClock{OffsetMillis: reading - c.Millis, StreamMillis: c.Millis}
}

// prune drops the daemons that are more than singleDaemonLag behind the stream time
// and therefore cannot advance it soon, and the daemon furthest behind when
// maxDaemonClocks is reached.
func (c *clock) prune() {
	mostBehind := ""
	for daemon, entry := range c.DaemonClocks {
		if entry.StreamMillis < c.Millis-singleDaemonLag.Milliseconds() {
			delete(c.DaemonClocks, daemon)
			continue
		}
		order := cmp.Or(cmp.Compare(entry.StreamMillis, c.DaemonClocks[mostBehind].StreamMillis), cmp.Compare(daemon, mostBehind))
		if mostBehind == "" || order < 0 {
			mostBehind = daemon
		}
	}
	if len(c.DaemonClocks) >= maxDaemonClocks {
		delete(c.DaemonClocks, mostBehind)
	}
}

// advance recomputes the stream time. The stream time never decreases.
func (c *clock) advance() {
	first, second := c.Millis, c.Millis
	for _, entry := range c.DaemonClocks {
		second = max(second, min(first, entry.StreamMillis))
		first = max(first, entry.StreamMillis)
	}
	c.Millis = max(second, first-singleDaemonLag.Milliseconds())
}

// clone returns a deep copy.
func (c *clock) clone() clock {
	return clock{Millis: c.Millis, DaemonClocks: maps.Clone(c.DaemonClocks)}
}

// now returns the stream time in Unix milliseconds.
func (c *clock) now() int64 {
	return c.Millis
}

// hasRecentRecord reports whether a daemon wrote a record within the last
// tickPeriod by its own clock.
func (c *clock) hasRecentRecord(daemon string, now time.Time) bool {
	entry, ok := c.DaemonClocks[daemon]
	return ok && entry.lastReading() >= now.Add(-tickPeriod).UnixMilli()
}
