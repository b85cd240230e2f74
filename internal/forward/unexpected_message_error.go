package forward

// UnexpectedMessageError reports a message that does not fit the state of the exchange.
type UnexpectedMessageError struct{}

// Error implements error.
func (e *UnexpectedMessageError) Error() string { return "unexpected message" }
