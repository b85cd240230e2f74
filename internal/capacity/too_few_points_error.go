package capacity

import "fmt"

// TooFewPointsError says that a line cannot be fitted to so few sizes.
type TooFewPointsError struct {
	Sizes int
}

// Error implements error.
func (e *TooFewPointsError) Error() string {
	return fmt.Sprintf("%d sizes measured, a line needs %d", e.Sizes, minPoints)
}
