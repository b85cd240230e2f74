package peer

// ClosedError reports that this daemon closed a link.
type ClosedError struct {
	Reason string
}

// Error implements error.
func (e *ClosedError) Error() string { return "closed: " + e.Reason }
