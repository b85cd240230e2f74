package endpoint

// Stream returns the frames of one attempt.
type Stream interface {
	// Next returns the next frame. It fails with a BrokenError if the connection
	// ends before the end marker or a frame cannot be decoded.
	Next() (Frame, error)
	// Buffered reports whether Next would return without reading from the network.
	Buffered() bool
	// Close closes the connection. The engine continues to run the attempt until it
	// ends or is cancelled.
	Close() error
}
