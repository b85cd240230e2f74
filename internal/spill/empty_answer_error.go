package spill

// EmptyAnswerError reports an answer message without a frame or a refusal.
type EmptyAnswerError struct{}

// Error implements error.
func (e *EmptyAnswerError) Error() string { return "answer message has no frame or refusal" }
