package relay

import "github.com/plantainmux/plantainmux/internal/endpoint"

// Sink receives the frames of one answer, in order and without gaps.
type Sink interface {
	// Frame accepts the next frame. It may buffer it until Flush.
	Frame(frame endpoint.Frame) error
	// Flush sends the buffered frames.
	Flush() error
	// Restart discards the frames received so far, so that another attempt can start
	// from the first frame. It returns false if part of the answer reached the caller.
	Restart() bool
}
