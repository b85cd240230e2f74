package endpoint

// Stream yields the frames of one attempt.
type Stream interface {
	// Next returns the next frame, or a BrokenError when the connection ends
	// before the end marker.
	Next() (Frame, error)
	// Close closes the connection. The engine goes on until the attempt is
	// cancelled or ends.
	Close() error
}
