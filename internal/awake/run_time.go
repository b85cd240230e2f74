package awake

import "time"

// looksPerRunTime is the number of looks in which a RunTime passes in a process that does not stand still.
const looksPerRunTime = 4

// RunTime is a length of time that has passed only once the process has run for it. It is for times too short for
// the Margin of a Deadline: in a process that does not stand still it passes by the clock. It is not safe for
// concurrent use.
type RunTime struct {
	length time.Duration
	seen   time.Time // last look, or the beginning
	ran    time.Duration
}

// NewRunTime returns a length of time that begins now.
func NewRunTime(length time.Duration, now time.Time) *RunTime {
	return &RunTime{length: length, seen: now}
}

// Interval returns the time after which Passed is to be asked again.
func (r *RunTime) Interval() time.Duration { return r.length / looksPerRunTime }

// Passed looks at the time and reports whether it has passed. A look that comes late by more than the interval
// counts for half of one: what arrived meanwhile, and what others in this process have yet to do for it, takes
// several turns of a process that runs late.
func (r *RunTime) Passed(now time.Time) bool {
	since := max(now.Sub(r.seen), 0)
	if since > 2*r.Interval() {
		since = r.Interval() / 2
	}
	r.ran += since
	r.seen = now
	return r.ran >= r.length
}
