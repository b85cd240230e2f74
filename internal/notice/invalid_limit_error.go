package notice

import "fmt"

// LimitReason says why a limit is ignored.
type LimitReason string

// Reasons of an InvalidLimitError.
const (
	LimitNotANumber LimitReason = "not_a_number"
	Negative        LimitReason = "negative"
	TooLarge        LimitReason = "too_large"
)

// InvalidLimitError reports that an endpoint named an unusable limit.
type InvalidLimitError struct {
	Value  string
	Reason LimitReason
}

// Error implements error.
func (e *InvalidLimitError) Error() string {
	return fmt.Sprintf("limit %q is ignored: %s", e.Value, e.Reason)
}
