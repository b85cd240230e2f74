package awake

import "time"

// Settling tells a periodic task that goes by elapsed time whether its process has run long enough, since it last
// stood still, for what arrived meanwhile to have been read. It is not safe for concurrent use.
type Settling struct {
	until *Deadline // nil: it has
}

// Settled looks at a run of the task that was due at a time, the zero time if it may have missed a standstill since its
// last run. If it returns false, the task is to run again after LookInterval.
func (s *Settling) Settled(due, now time.Time) bool {
	if s.until == nil && now.Sub(due) <= Step {
		return true
	}
	if s.until == nil {
		s.until = NewDeadline(now)
	}
	if !s.until.Passed(now) {
		return false
	}
	s.until = nil
	return true
}
