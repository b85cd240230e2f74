package infra

import "fmt"

// ExpiredError reports that a read starts below the oldest retained record.
type ExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d expired, oldest is %d", e.Stream, e.From, e.Oldest)
}
