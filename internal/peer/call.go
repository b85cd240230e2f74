package peer

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Call implements Mesh.
func (n *Network) Call(ctx context.Context, to fleet.DaemonID, method Method, body, reply any) error {
	l, ok := n.routing.Load().localLink(to)
	if !ok {
		return &UnreachableError{Daemon: to}
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return &EncodeError{Type: fmt.Sprintf("%T", body), Err: err}
	}
	call, id, err := l.begin(frame{Kind: frameCall, Name: string(method), Body: encoded, Valid: validFor(ctx, false)})
	if err != nil {
		return err
	}
	defer l.outgoing.remove(id)
	answer, ok, err := call.next(ctx)
	if ctx.Err() != nil && err != nil {
		l.cancelCall(id)
		return &LinkError{Daemon: to, Err: ctx.Err()}
	}
	if err != nil {
		return err
	}
	if !ok {
		return &LinkError{Daemon: to, Err: &ProtocolError{Rule: "a call has one answer"}}
	}
	return decodeAnswer(to, answer, reply)
}

func decodeAnswer(from fleet.DaemonID, answer cbor.RawMessage, reply any) error {
	if reply == nil {
		return nil
	}
	if err := cbor.Unmarshal(answer, reply); err != nil {
		return &LinkError{Daemon: from, Err: &ProtocolError{Rule: "an answer has the reply's type: " + err.Error()}}
	}
	return nil
}

// begin registers a call and queues its first frame.
func (l *link) begin(f frame) (*outgoingCall, uint64, error) {
	call := newOutgoingCall()
	id, err := l.outgoing.add(call)
	if err != nil {
		return nil, 0, &UnreachableError{Daemon: l.remote.Daemon, Err: err}
	}
	f.ID, f.Sent = id, l.network.clocks.now()
	data, err := encodeFrame(f)
	if err == nil {
		err = l.queue.tryPush(queuedFrame{data: data, call: call})
	}
	if err != nil {
		l.outgoing.remove(id)
		return nil, 0, &UnreachableError{Daemon: l.remote.Daemon, Err: err}
	}
	return call, id, nil
}

// cancelCall removes a call and tells the other side to cancel its handler.
func (l *link) cancelCall(id uint64) {
	if call := l.outgoing.remove(id); call != nil {
		call.cancelled.Store(true)
	}
	_ = l.pushFrame(frame{Kind: frameCancel, ID: id})
}
