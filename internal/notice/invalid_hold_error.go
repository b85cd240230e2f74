package notice

import "fmt"

// HoldReason says why a time to hold off is ignored.
type HoldReason string

// Reasons of an InvalidHoldError.
const (
	NotANumber  HoldReason = "not_a_number" // also a date
	NotPositive HoldReason = "not_positive"
	TooLong     HoldReason = "too_long"
)

// InvalidHoldError reports that an endpoint named an unusable time to hold off.
type InvalidHoldError struct {
	Value  string
	Reason HoldReason
}

// Error implements error.
func (e *InvalidHoldError) Error() string {
	return fmt.Sprintf("time to hold off %q is ignored: %s", e.Value, e.Reason)
}
