package peer

// BusyError reports that a daemon has reached its limit of concurrent calls.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many calls in progress" }
