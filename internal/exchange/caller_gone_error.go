package exchange

// CallerGoneError says that the caller has closed its connection.
type CallerGoneError struct{ Err error }

// Error implements error.
func (e *CallerGoneError) Error() string { return "caller has gone" }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }
