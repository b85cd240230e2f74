package evidence

import "time"

// Span is the period that a report covers, both ends included.
type Span struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// contains reports whether a time in Unix milliseconds lies in the span.
func (s Span) contains(millis int64) bool {
	at := time.UnixMilli(millis)
	return !at.Before(s.From) && !at.After(s.To)
}
