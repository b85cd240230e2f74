package relay

import "fmt"

// GapError reports that frames of an attempt are missing.
type GapError struct {
	Attempt string
	Want    int
	Got     int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("attempt %s: got frame %d, expected frame %d", e.Attempt, e.Got, e.Want)
}
