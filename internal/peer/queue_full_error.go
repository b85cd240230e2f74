package peer

// QueueFullError reports that the send queue of a link is full.
type QueueFullError struct{}

// Error implements error.
func (e *QueueFullError) Error() string { return "send queue full" }
