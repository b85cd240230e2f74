package exchange

// CallerGoneError reports that the caller closed its connection.
type CallerGoneError struct{ Err error }

// Error implements error.
func (e *CallerGoneError) Error() string { return "caller closed the connection" }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }
