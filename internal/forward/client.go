package forward

import (
	"context"
	"errors"
	"io"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Client forwards exchanges to other daemons.
type Client struct{ mesh Mesh }

// NewClient returns a client that forwards over mesh.
func NewClient(mesh Mesh) *Client { return &Client{mesh: mesh} }

// Send forwards an exchange to a daemon, which sends it at most once. It fails with NotSentError if
// that daemon or the endpoint proves that it was not sent, with RemoteError if the endpoint failed,
// and with PathLostError if the daemon may have sent it and was lost.
func (c *Client) Send(ctx context.Context, via string, exchange outbound.Exchange) (*outbound.Response, error) {
	stream, err := c.mesh.OpenStreamTo(ctx, fleet.DaemonID(via), peer.MethodExchange, exchange)
	if err != nil && peer.NotRun(err) {
		return nil, &outbound.NotSentError{Blame: outbound.BlamePath, Err: err}
	}
	if err != nil {
		return nil, &outbound.PathLostError{Via: via, Err: err}
	}
	b := &body{via: via, stream: stream}
	first, err := b.next()
	if err == nil && first.Head == nil {
		err = &outbound.PathLostError{Via: via, Err: &UnexpectedMessageError{}}
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return &outbound.Response{Status: first.Head.Status, Header: first.Head.Header, Body: b, Via: via}, nil
}

// body is the body of a forwarded response.
type body struct {
	via     string
	stream  peer.Stream
	pending []byte
	err     error // of all further reads
}

// next returns the next message that is not a failure.
func (b *body) next() (message, error) {
	var m message
	if err := b.stream.Next(&m); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return m, &outbound.PathLostError{Via: b.via, Err: err}
	}
	if m.Failure != nil {
		return m, m.Failure.err(b.via)
	}
	return m, nil
}

// Read implements io.Reader. It returns io.EOF only at the end of the endpoint's body.
func (b *body) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		m, err := b.next()
		switch {
		case err != nil:
			b.err = err
		case m.End:
			b.err = io.EOF
		}
		b.pending = m.Data
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer. It cancels the exchange unless it is complete.
func (b *body) Close() error { return b.stream.Close() }
