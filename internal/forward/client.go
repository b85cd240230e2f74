package forward

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Client forwards exchanges to other daemons.
type Client struct{ mesh Mesh }

// NewClient returns a client that forwards over mesh.
func NewClient(mesh Mesh) *Client { return &Client{mesh: mesh} }

// Send forwards an exchange to a daemon, which sends it at most once. It fails with NotSentError if
// that daemon or the endpoint proves that it was not sent, with RemoteError or NotFinalError if the
// endpoint failed, and with PathLostError if the daemon may have sent it and was lost.
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
	if err == nil && !outbound.IsFinal(first.Head.Status) { // daemons of earlier versions pass on interim ones
		err = &outbound.NotFinalError{Status: first.Head.Status}
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return &outbound.Response{Status: first.Head.Status, Header: first.Head.Header, Body: b, Via: via}, nil
}
