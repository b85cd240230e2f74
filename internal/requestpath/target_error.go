package requestpath

// TargetError says that a target has no path by which a route can be chosen.
type TargetError struct{ Cause Cause }

// Error implements error.
func (e *TargetError) Error() string { return "request target: " + string(e.Cause) }
