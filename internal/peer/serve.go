package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// serveInTime serves a call, unless it comes late: its caller may have left, or made another one.
func (n *Network) serveInTime(l *link, f frame) {
	switch {
	case l.late(f):
		n.counters.lateCalls.Inc()
		l.refuse(f.ID, failureLate, "")
	case f.Kind == frameCall:
		n.serveCall(l, f)
	default:
		n.serveOpen(l, f)
	}
}

// serveCall runs the handler of a call and sends its answer.
func (n *Network) serveCall(l *link, f frame) {
	handler, ok := n.callHandlers[Method(f.Name)]
	if !ok {
		l.refuse(f.ID, failureUnknownMethod, f.Name)
		return
	}
	n.serve(l, f, func(call *incomingCall) error {
		answer, err := handler(call.ctx, l.remote.Daemon, f.Body)
		if err != nil {
			return ran(err)
		}
		return l.answer(f.ID, answer)
	})
}

// serveOpen runs the handler of a streamed call, or relays the call to another
// data centre.
func (n *Network) serveOpen(l *link, f frame) {
	if f.DataCentre != "" && f.DataCentre != n.options.DataCentre {
		n.serve(l, f, func(call *incomingCall) error { return n.relayStream(l, f, call) })
		return
	}
	handler, ok := n.streamHandlers[Method(f.Name)]
	if !ok {
		l.refuse(f.ID, failureUnknownMethod, f.Name)
		return
	}
	n.serve(l, f, func(call *incomingCall) error {
		if err := l.pushFrame(frame{Kind: frameAccepted, ID: f.ID}); err != nil {
			return err
		}
		return ran(handler(call.ctx, l.remote.Daemon, f.Body, func(answer any) error {
			if err := call.takeCredit(); err != nil {
				return err
			}
			return l.answer(f.ID, answer)
		}))
	})
}

// serve runs a call on the worker pool and sends how it ended.
func (n *Network) serve(l *link, f frame, run func(*incomingCall) error) {
	call, ok := l.incoming.begin(l.ctx, f.ID)
	if !ok {
		l.close(&ProtocolError{Rule: "a call's id is used once"})
		return
	}
	_, accepted := n.pool.TrySubmit(func() {
		defer l.incoming.end(f.ID)
		l.finish(f.ID, run(call))
	})
	if !accepted {
		l.incoming.end(f.ID)
		l.refuse(f.ID, failureBusy, "")
	}
}

// finish sends the end or the failure of a call.
func (l *link) finish(id uint64, err error) {
	if err == nil {
		_ = l.pushFrame(frame{Kind: frameEnd, ID: id})
		return
	}
	_ = l.pushFrame(failureFrame(id, err))
}

func failureFrame(id uint64, err error) frame {
	f := frame{Kind: frameFailure, ID: id, Message: err.Error()}
	var unknown *UnknownMethodError
	var unreachable *UnreachableError
	var linkErr *LinkError
	switch {
	case errors.As(err, &unknown):
		f.Failure, f.Message = failureUnknownMethod, string(unknown.Method)
	case errors.As(err, &linkErr):
		f.Failure = failureBroken
	case errors.As(err, &unreachable):
		f.Failure, f.Message = failureUnreachable, string(unreachable.DataCentre)
	}
	return f
}

// refuse sends the failure of a call that did not run. It must not block: a
// link whose queue is full is closed.
func (l *link) refuse(id uint64, code failureCode, message string) {
	data, err := encodeFrame(frame{Kind: frameFailure, ID: id, Failure: code, Message: message})
	if err == nil {
		err = l.queue.tryPush(queuedFrame{data: data})
	}
	if err != nil {
		l.close(err)
	}
}

func (l *link) answer(id uint64, answer any) error {
	body, err := cbor.Marshal(answer)
	if err != nil {
		return &EncodeError{Type: fmt.Sprintf("%T", answer), Err: err}
	}
	return l.pushFrame(frame{Kind: frameAnswer, ID: id, Body: body})
}

func (l *link) pushFrame(f frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return &EncodeError{Type: "frame", Err: err}
	}
	if err := l.queue.push(l.ctx, data); err != nil {
		return &LinkError{Daemon: l.remote.Daemon, Err: context.Cause(l.ctx)}
	}
	return nil
}
