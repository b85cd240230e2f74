package delivery

// WithdrawnError reports that a connection was reset since what was under way on it must not arrive any more. It may have
// arrived all the same: an acknowledgement may be lost too.
type WithdrawnError struct{ Address string }

// Error implements error.
func (e *WithdrawnError) Error() string {
	return "what was under way to " + e.Address + " was withdrawn"
}
