package peer

import (
	"context"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// creditBatch is how many answers are taken before the sender is told.
const creditBatch = streamWindow / 2

// linkStream is a stream of answers on one link.
type linkStream struct {
	ctx   context.Context
	link  *link
	call  *outgoing
	id    uint64
	taken int // answers since the last credit
	once  sync.Once
}

func newLinkStream(ctx context.Context, l *link, call *outgoing, id uint64) *linkStream {
	return &linkStream{ctx: ctx, link: l, call: call, id: id}
}

// Next implements Stream.
func (s *linkStream) Next(answer any) error {
	body, ok, err := s.nextRaw()
	if err != nil {
		return err
	}
	if !ok {
		return io.EOF
	}
	return decodeAnswer(s.link.remote.Daemon, body, answer)
}

// nextRaw returns false after the last answer of a whole stream.
func (s *linkStream) nextRaw() (cbor.RawMessage, bool, error) {
	body, ok, err := s.call.next(s.ctx)
	if err != nil && s.ctx.Err() != nil {
		return nil, false, &BrokenError{Daemon: s.link.remote.Daemon, Err: err}
	}
	if err != nil || !ok {
		return nil, false, err
	}
	s.taken++
	if s.taken == creditBatch {
		s.taken = 0
		if err := s.link.pushFrame(frame{Kind: frameCredit, ID: s.id, Credit: creditBatch}); err != nil {
			return nil, false, err
		}
	}
	return body, true, nil
}

// Close implements Stream.
func (s *linkStream) Close() error {
	s.once.Do(func() {
		select {
		case <-s.call.over:
			s.link.calls.remove(s.id)
		default:
			s.call.fail(&ClosedError{Reason: "by the caller"})
			s.link.abandon(s.id)
		}
	})
	return nil
}
