package spill

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// stream is an answer from another data centre. It implements endpoint.Stream.
type stream struct {
	from    fleet.DataCentre
	answers peer.Stream
}

// Next implements endpoint.Stream.
func (s *stream) Next() (endpoint.Frame, error) {
	var answer Answer
	if err := s.answers.Next(&answer); err != nil {
		return endpoint.Frame{}, &endpoint.BrokenError{Address: string(s.from), Err: err}
	}
	switch {
	case answer.Frame != nil:
		return *answer.Frame, nil
	case answer.Refusal != nil && answer.Refusal.Outcome == refusal.NotRun:
		return endpoint.Frame{}, &endpoint.NotRunError{Address: string(s.from), Code: string(answer.Refusal.Reason)}
	case answer.Refusal != nil:
		return endpoint.Frame{}, &endpoint.BrokenError{Address: string(s.from), Err: answer.Refusal}
	default:
		return endpoint.Frame{}, &endpoint.BrokenError{Address: string(s.from), Err: &EmptyAnswerError{}}
	}
}

// Buffered implements endpoint.Stream.
func (s *stream) Buffered() bool { return false }

// Close implements endpoint.Stream. It cancels the request at the other daemon.
func (s *stream) Close() error { return s.answers.Close() }
