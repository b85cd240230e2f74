package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
)

// streamWindow is the maximum number of unacknowledged answers of a stream.
const streamWindow = 64

// outgoingCall is a call made by this daemon.
type outgoingCall struct {
	accepted   chan struct{}
	answers    chan cbor.RawMessage
	ended      chan struct{} // closed when the call has ended
	endOnce    sync.Once
	acceptOnce sync.Once
	cancelled  atomic.Bool // by this daemon
	err        error       // nil: the call or stream is complete; valid once ended is closed
}

func newOutgoingCall() *outgoingCall {
	return &outgoingCall{
		accepted: make(chan struct{}),
		answers:  make(chan cbor.RawMessage, streamWindow),
		ended:    make(chan struct{}),
	}
}

// deliver processes a frame of the call. It must not block.
func (o *outgoingCall) deliver(l *link, f frame) {
	switch f.Kind {
	case frameAccepted:
		o.acceptOnce.Do(func() { close(o.accepted) })
	case frameAnswer:
		select {
		case o.answers <- f.Body:
		default:
			o.end(&LinkError{Daemon: l.remote.Daemon, Err: &ProtocolError{Rule: "no more answers than credit"}})
		}
	case frameEnd:
		o.end(nil)
	default:
		o.end(o.failure(l, f))
	}
}

// failure returns the error of a failure frame. A call that was accepted may have run, whatever daemons of earlier versions say.
func (o *outgoingCall) failure(l *link, f frame) error {
	err := failureError(l.remote.Daemon, f)
	select {
	case <-o.accepted:
		if NotRun(err) {
			return &RemoteError{Daemon: l.remote.Daemon, Message: err.Error()}
		}
	default:
	}
	return err
}

// end ends the call. A nil error means that all answers were received.
func (o *outgoingCall) end(err error) {
	o.endOnce.Do(func() {
		o.err = err
		close(o.ended)
	})
}

// awaitAccepted waits until the other side has accepted the call. A call that
// was accepted and has ended already counts as accepted: its stream returns the
// answers and the outcome.
func (o *outgoingCall) awaitAccepted(ctx context.Context, l *link) error {
	select {
	case <-o.accepted:
		return nil
	case <-o.ended:
		return o.acceptanceError(l)
	case <-ctx.Done():
		return &LinkError{Daemon: l.remote.Daemon, Err: ctx.Err()}
	}
}

// acceptanceError returns nil if an ended call was accepted before it ended,
// and otherwise the error that ended it.
func (o *outgoingCall) acceptanceError(l *link) error {
	select {
	case <-o.accepted:
		return nil
	default:
	}
	if o.err == nil {
		return &LinkError{Daemon: l.remote.Daemon, Err: &ProtocolError{Rule: "a stream is accepted before it ends"}}
	}
	return o.err
}

// next returns the next answer. Answers received before the end of the call are
// returned first; then it returns false and the error of the call.
func (o *outgoingCall) next(ctx context.Context) (cbor.RawMessage, bool, error) {
	select {
	case body := <-o.answers:
		return body, true, nil
	default:
	}
	select {
	case body := <-o.answers:
		return body, true, nil
	case <-o.ended:
		return o.afterEnd()
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (o *outgoingCall) afterEnd() (cbor.RawMessage, bool, error) {
	select {
	case body := <-o.answers:
		return body, true, nil
	default:
		return nil, false, o.err
	}
}
