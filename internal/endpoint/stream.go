package endpoint

// Stream yields the frames of one attempt.
type Stream interface {
	// Next returns the next frame, or a BrokenError when the connection ends
	// before the end marker.
	Next() (Frame, error)
	// Close ends the attempt. A stream that is not finished is cancelled on the
	// engine.
	Close() error
}
