package exchange

import "fmt"

// DisorderError says that a stream's events do not follow each other.
type DisorderError struct{ Last, Next string }

// Error implements error.
func (e *DisorderError) Error() string {
	return fmt.Sprintf("event %q follows %q", e.Next, e.Last)
}
