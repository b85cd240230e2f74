package forward

// sendError reports that a message could not be sent to the daemon that forwarded the exchange.
type sendError struct{ err error }

// Error implements error.
func (e *sendError) Error() string { return "answering the forwarding daemon: " + e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }
