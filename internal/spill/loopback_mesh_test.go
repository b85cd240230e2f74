package spill_test

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// pair is a mesh whose other data centre is the daemon itself.
type pair struct {
	*peer.Solo
	handler peer.OpenHandler
}

func (p *pair) HandleOpen(_ peer.Method, handler peer.OpenHandler) { p.handler = handler }

func (p *pair) Open(ctx context.Context, _ fleet.DataCentre, _ peer.Method, body any) (peer.Stream, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	s := &sent{}
	s.err = p.handler(ctx, "other", data, func(answer any) error {
		data, err := cbor.Marshal(answer)
		s.answers = append(s.answers, data)
		return err
	})
	return s, nil
}

// sent is the answers that a handler has sent.
type sent struct {
	answers []cbor.RawMessage
	err     error
}

func (s *sent) Next(answer any) error {
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

func (s *sent) Close() error { return nil }
