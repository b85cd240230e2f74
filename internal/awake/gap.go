package awake

import "time"

// Gap measures how long a process stood still, from the times at which a periodic task runs. It is not safe for
// concurrent use.
type Gap struct {
	interval time.Duration
	last     time.Time
}

// NewGap returns a measure for a task that runs after each interval.
func NewGap(interval time.Duration) *Gap { return &Gap{interval: interval} }

// Stood returns by how much the task is late, 0 at its first run.
func (g *Gap) Stood(now time.Time) time.Duration {
	last := g.last
	g.last = now
	if last.IsZero() {
		return 0
	}
	return max(now.Sub(last)-g.interval, 0)
}
