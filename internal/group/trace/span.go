package trace

import "time"

// Span is a length of time since the start of the measurement.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (s Span) holds(at time.Duration) bool {
	return s.From <= at && at < s.To
}
