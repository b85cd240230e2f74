package notice

import "fmt"

// ColdReason says why the time for which an endpoint stays cold is ignored.
type ColdReason string

// Reasons of an InvalidColdError.
const (
	ColdNotANumber ColdReason = "not_a_number"
	ColdNegative   ColdReason = "negative"
	ColdTooLong    ColdReason = "too_long"
)

// InvalidColdError reports that an endpoint named an unusable time for which it stays cold.
type InvalidColdError struct {
	Value  string
	Reason ColdReason
}

// Error implements error.
func (e *InvalidColdError) Error() string {
	return fmt.Sprintf("time %q to stay cold is ignored: %s", e.Value, e.Reason)
}
