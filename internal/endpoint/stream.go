package endpoint

// Stream yields the frames of one attempt.
type Stream interface {
	// Next returns the next frame, or a BrokenError when the connection ends
	// before the end marker.
	Next() (Frame, error)
	// Buffered reports whether Next would return without waiting for the network.
	Buffered() bool
	// Close closes the connection. The engine goes on until the attempt is
	// cancelled or ends.
	Close() error
}
