package trace

import "time"

// Span is a time interval, relative to the start of the measurement. It excludes
// To.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (s Span) contains(at time.Duration) bool {
	return s.From <= at && at < s.To
}
