package peer

// LateError reports that a call was read after the time for which it was valid.
type LateError struct{}

// Error implements error.
func (e *LateError) Error() string { return "the call came too late" }
