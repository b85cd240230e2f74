package targetstats

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// gapValidity is the time after the last event at this daemon for which the measured gap holds: a
	// group that was slow then may serve others as usual by now.
	gapValidity = 2 * time.Second

	// minGaps is the number of gaps from which on their mean is known: a single one may span a pass
	// that reads prompts.
	minGaps = 10

	// maxGaps bounds the count: from 1 / gapWeight on, the weight of a gap no longer depends on it.
	maxGaps = 100
)

// recentGap is the mean time between two events of a stream, as measured within gapValidity.
type recentGap struct {
	mean  atomic.Uint64 // float64 bits, nanoseconds
	count atomic.Int32  // gaps since the measurement began
	at    atomic.Int64  // Unix nanoseconds of the last gap
}

// observe adds a gap. It begins anew if the last one is too old.
func (g *recentGap) observe(now time.Time, gap time.Duration) {
	previous := g.at.Swap(now.UnixNano())
	if now.UnixNano()-previous > int64(gapValidity) {
		g.count.Store(0)
	}
	count := min(g.count.Load(), maxGaps) + 1
	g.count.Store(count)
	if count == 1 {
		g.mean.Store(math.Float64bits(float64(gap)))
		return
	}
	updateMean(&g.mean, max(gapWeight, 1/float64(count)), gap)
}

// value returns the mean, 0 if it is not known.
func (g *recentGap) value(now time.Time) time.Duration {
	if g.count.Load() < minGaps || now.UnixNano()-g.at.Load() > int64(gapValidity) {
		return 0
	}
	return time.Duration(math.Float64frombits(g.mean.Load()))
}

// RecentGap returns the mean time between two events of a stream as this daemon has measured it of
// late, 0 if it has not: the group has just formed, or this daemon sends it few requests.
func (m *Meter) RecentGap(now time.Time) time.Duration { return m.recentGap.value(now) }
