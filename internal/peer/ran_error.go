package peer

// ranError is the failure of a handler that ran. It does not unwrap: that the handler did not reach a third daemon, or
// that one lacked a method, does not show that the call did not run.
type ranError struct{ err error }

// Error implements error.
func (e *ranError) Error() string { return e.err.Error() }

// ran returns the failure of a handler, if it failed.
func ran(err error) error {
	if err == nil {
		return nil
	}
	return &ranError{err}
}
