package spill_test

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// loopbackMesh is a mesh that handles the streams that it opens itself.
type loopbackMesh struct {
	*peer.Solo
	handler peer.OpenHandler
}

func (m *loopbackMesh) HandleOpen(_ peer.Method, handler peer.OpenHandler) { m.handler = handler }

func (m *loopbackMesh) Open(ctx context.Context, _ fleet.DataCentre, _ peer.Method, body any) (peer.Stream, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	s := &sentAnswers{}
	s.err = m.handler(ctx, "other", data, func(answer any) error {
		data, err := cbor.Marshal(answer)
		s.answers = append(s.answers, data)
		return err
	})
	return s, nil
}

// sentAnswers is a stream of the answers that a handler has sent.
type sentAnswers struct {
	answers []cbor.RawMessage
	err     error
}

func (s *sentAnswers) Next(answer any) error {
	if len(s.answers) == 0 && s.err != nil {
		return s.err
	}
	if len(s.answers) == 0 {
		return io.EOF
	}
	first := s.answers[0]
	s.answers = s.answers[1:]
	return cbor.Unmarshal(first, answer)
}

func (s *sentAnswers) Close() error { return nil }
