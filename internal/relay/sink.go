package relay

import "github.com/plantainmux/plantainmux/internal/endpoint"

// Sink receives the frames of one answer, in order and without gaps.
type Sink interface {
	Frame(frame endpoint.Frame) error
}
