package capacity

import "fmt"

// TooFewPointsError reports that there are too few distinct sizes to fit a line.
type TooFewPointsError struct {
	Sizes int
}

// Error implements error.
func (e *TooFewPointsError) Error() string {
	return fmt.Sprintf("cannot fit line to %d distinct sizes, at least %d are needed", e.Sizes, minSizes)
}
