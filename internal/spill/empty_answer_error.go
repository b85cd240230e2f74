package spill

// EmptyAnswerError says that a message of an answer held nothing.
type EmptyAnswerError struct{}

// Error implements error.
func (e *EmptyAnswerError) Error() string { return "a message of the answer is empty" }
