package awake

import "time"

// Step bounds how much of the time between two looks counts as time that the process ran.
const Step = 25 * time.Millisecond

// Margin is how long a process runs past a time limit before the limit has passed: at least two looks after the one
// that found it reached, so that the readers of connections have run in between.
const Margin = 40 * time.Millisecond

// Deadline is a time limit that has passed only once the process has run for Margin after it. It is not safe for
// concurrent use.
type Deadline struct {
	at   time.Time
	seen time.Time // last look at or after it; zero: none
	ran  time.Duration
	late bool // a look came more than Step after the one before
}

// NewDeadline returns a limit at a time.
func NewDeadline(at time.Time) *Deadline { return &Deadline{at: at} }

// Passed looks at the limit and reports whether it has passed. It is to be asked every Step or more often.
func (d *Deadline) Passed(now time.Time) bool {
	if now.Before(d.at) {
		return false
	}
	if d.seen.IsZero() {
		d.seen = now
		return false
	}
	since := max(now.Sub(d.seen), 0)
	d.seen = now
	d.ran += min(since, Step)
	if since > Step && !d.late { // the process has just gone on; one that stands still again and again passes too
		d.late = true
		return false
	}
	return d.ran >= Margin
}
