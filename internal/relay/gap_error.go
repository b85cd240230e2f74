package relay

import "fmt"

// GapError says that frames of an attempt are missing.
type GapError struct {
	Attempt string
	Want    int
	Got     int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("attempt %s: frame %d came where %d was due", e.Attempt, e.Got, e.Want)
}
