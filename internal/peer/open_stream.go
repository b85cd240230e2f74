package peer

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// OpenStream implements Mesh. It returns once a daemon of the other data centre has
// accepted the call.
func (n *Network) OpenStream(ctx context.Context, to fleet.DataCentre, method Method, body any) (Stream, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Type: fmt.Sprintf("%T", body), Err: err}
	}
	var lastErr error = &UnreachableError{DataCentre: to}
	for _, l := range n.routing.Load().linksTo(to, n.nextRotation()) {
		stream, err := n.openOn(ctx, l, to, method, encoded, validFor(ctx, true))
		if err == nil {
			return stream, nil
		}
		lastErr = err
		if !NotRun(err) {
			return nil, err
		}
	}
	return nil, lastErr
}

// OpenStreamTo implements Mesh.
func (n *Network) OpenStreamTo(ctx context.Context, to fleet.DaemonID, method Method, body any) (Stream, error) {
	l, ok := n.routing.Load().localLink(to)
	if !ok {
		return nil, &UnreachableError{Daemon: to}
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Type: fmt.Sprintf("%T", body), Err: err}
	}
	stream, err := n.openOn(ctx, l, "", method, encoded, validFor(ctx, true))
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// openOn opens a stream on one link and waits until it is accepted.
func (n *Network) openOn(ctx context.Context, l *link, to fleet.DataCentre, method Method, body cbor.RawMessage, valid Timestamp) (*linkStream, error) {
	if ctx.Err() != nil {
		return nil, &UnreachableError{Daemon: l.remote.Daemon, DataCentre: to, Err: ctx.Err()}
	}
	call, id, err := l.begin(frame{Kind: frameOpen, Name: string(method), Body: body, DataCentre: to, Valid: valid})
	if err != nil {
		return nil, err
	}
	stream := newLinkStream(ctx, l, call, id)
	if err := call.awaitAccepted(ctx, l); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// relayStream relays a streamed call from a daemon of the local data centre to
// another data centre. A slow caller slows down the relayed stream, so at most
// one window of answers is buffered.
func (n *Network) relayStream(l *link, f frame, call *incomingCall) error {
	direct := n.routing.Load().directLinks(f.DataCentre)
	if len(direct) == 0 || l.remote.DataCentre != n.options.DataCentre {
		return &UnreachableError{DataCentre: f.DataCentre}
	}
	stream, err := n.openOn(call.ctx, direct[0], f.DataCentre, Method(f.Name), f.Body, l.leftOf(f))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if err := l.pushFrame(frame{Kind: frameAccepted, ID: f.ID}); err != nil {
		return err
	}
	n.counters.relayedStreams.Inc()
	for {
		answer, ok, err := stream.nextRaw()
		if err != nil || !ok {
			return err
		}
		if err := call.takeCredit(); err != nil {
			return err
		}
		if err := l.pushFrame(frame{Kind: frameAnswer, ID: f.ID, Body: answer}); err != nil {
			return err
		}
	}
}
