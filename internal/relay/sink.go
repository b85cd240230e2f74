package relay

import "github.com/plantainmux/plantainmux/internal/endpoint"

// Sink receives the frames of one answer, in order and without gaps.
type Sink interface {
	// Frame takes the next frame. It may hold it back until Flush.
	Frame(frame endpoint.Frame) error
	// Flush sends what is held back.
	Flush() error
	// Restart forgets the frames so far, so that another attempt can begin anew.
	// It returns false when a part of the answer reached the caller.
	Restart() bool
}
