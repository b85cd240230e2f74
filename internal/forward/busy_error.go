package forward

import "fmt"

// BusyError reports that a daemon carries out as many exchanges of others as it may.
type BusyError struct{ Limit int }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d exchanges of other daemons in progress", e.Limit)
}
