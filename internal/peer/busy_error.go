package peer

// BusyError says that a daemon has no room for another call.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many calls in progress" }
