package forward

import "fmt"

// DeclinedError reports that a daemon does not carry out an exchange for another one.
type DeclinedError struct{ Reason DeclineReason }

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("declined: %s", e.Reason) }
