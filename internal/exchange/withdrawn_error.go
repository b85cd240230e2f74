package exchange

// WithdrawnError is the cause of cancelling an attempt without output whose request, or a part of
// its prompt, has crashed other endpoints.
type WithdrawnError struct{}

// Error implements error.
func (e *WithdrawnError) Error() string { return "the request crashes endpoints" }
