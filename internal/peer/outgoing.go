package peer

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// streamWindow is how many answers of a stream may be under way.
const streamWindow = 64

// outgoing is one call that this daemon made.
type outgoing struct {
	accepted chan struct{}
	answers  chan cbor.RawMessage
	over     chan struct{} // closed when the call ended
	once     sync.Once
	opened   sync.Once
	err      error // nil: the stream is whole; valid once over is closed
}

func newOutgoing() *outgoing {
	return &outgoing{
		accepted: make(chan struct{}),
		answers:  make(chan cbor.RawMessage, streamWindow),
		over:     make(chan struct{}),
	}
}

// deliver must not block.
func (o *outgoing) deliver(l *link, f frame) {
	switch f.Kind {
	case frameAccepted:
		o.opened.Do(func() { close(o.accepted) })
	case frameAnswer:
		select {
		case o.answers <- f.Body:
		default:
			o.fail(&BrokenError{Daemon: l.remote.Daemon, Err: &ProtocolError{Rule: "no more answers than credit"}})
		}
	case frameEnd:
		o.fail(nil)
	default:
		o.fail(failureOf(l.remote.Daemon, f))
	}
}

// fail ends the call; nil says that all answers came.
func (o *outgoing) fail(err error) {
	o.once.Do(func() {
		o.err = err
		close(o.over)
	})
}

// awaitAccepted waits until the other side accepted the call. A call may be
// accepted and over by the time that this daemon looks; its stream then tells
// its answers and how it ended.
func (o *outgoing) awaitAccepted(ctx context.Context, l *link) error {
	select {
	case <-o.accepted:
		return nil
	case <-o.over:
		return o.endedUnaccepted(l)
	case <-ctx.Done():
		return &BrokenError{Daemon: l.remote.Daemon, Err: ctx.Err()}
	}
}

// endedUnaccepted returns nil if the call that is over was accepted before.
func (o *outgoing) endedUnaccepted(l *link) error {
	select {
	case <-o.accepted:
		return nil
	default:
	}
	if o.err == nil {
		return &BrokenError{Daemon: l.remote.Daemon, Err: &ProtocolError{Rule: "a stream is accepted before it ends"}}
	}
	return o.err
}

// next returns the next answer. Answers that came before the end are returned
// before it.
func (o *outgoing) next(ctx context.Context) (cbor.RawMessage, bool, error) {
	select {
	case body := <-o.answers:
		return body, true, nil
	default:
	}
	select {
	case body := <-o.answers:
		return body, true, nil
	case <-o.over:
		return o.afterEnd()
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (o *outgoing) afterEnd() (cbor.RawMessage, bool, error) {
	select {
	case body := <-o.answers:
		return body, true, nil
	default:
		return nil, false, o.err
	}
}
