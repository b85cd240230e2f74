package peer

import (
	"context"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// creditBatch is the number of answers received before credit is returned to
// the sender.
const creditBatch = streamWindow / 2

// linkStream is a stream of answers on one link.
type linkStream struct {
	ctx         context.Context
	link        *link
	call        *outgoingCall
	id          uint64
	sinceCredit int // answers received since credit was last returned
	once        sync.Once
}

func newLinkStream(ctx context.Context, l *link, call *outgoingCall, id uint64) *linkStream {
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

// nextRaw returns the next answer undecoded, and false after the last answer of
// a complete stream.
func (s *linkStream) nextRaw() (cbor.RawMessage, bool, error) {
	body, ok, err := s.call.next(s.ctx)
	if err != nil && s.ctx.Err() != nil {
		return nil, false, &BrokenError{Daemon: s.link.remote.Daemon, Err: err}
	}
	if err != nil || !ok {
		return nil, false, err
	}
	s.sinceCredit++
	if s.sinceCredit == creditBatch {
		s.sinceCredit = 0
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
		case <-s.call.ended:
			s.link.outgoing.remove(s.id)
		default:
			s.call.end(&ClosedError{Reason: "by the caller"})
			s.link.cancelCall(s.id)
		}
	})
	return nil
}
