package spill

import "github.com/plantainmux/plantainmux/internal/endpoint"

// sink sends frames to the forwarding data centre, with the attempt ID that it
// assigned.
type sink struct {
	attempt string
	send    func(any) error
	sent    int
}

// Frame implements relay.Sink.
func (s *sink) Frame(frame endpoint.Frame) error {
	frame.Attempt = s.attempt
	s.sent++
	return s.send(Answer{Frame: &frame})
}

// Flush implements relay.Sink.
func (s *sink) Flush() error { return nil }

// Restart implements relay.Sink.
func (s *sink) Restart() bool { return s.sent == 0 }
