package evidence

import "time"

// Span is the time that a report covers.
type Span struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// has reports whether a time in Unix milliseconds lies in the span.
func (s Span) has(millis int64) bool {
	at := time.UnixMilli(millis)
	return !at.Before(s.From) && !at.After(s.To)
}
