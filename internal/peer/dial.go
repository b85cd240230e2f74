package peer

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/coder/websocket"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// dialLoop maintains a link to the daemon at an address in the same data
// centre.
func (n *Network) dialLoop(ctx context.Context, address Address) {
	failures := 0
	for ctx.Err() == nil {
		remote, result, err := n.dialOnce(ctx, address)
		switch {
		case err == nil && result == verdictSelf:
			return
		case err == nil && result == verdictAccepted:
			failures = 0
		case err == nil:
			n.awaitNoLink(ctx, remote.Daemon)
			failures++
		default:
			failures++
			n.options.Logger.Debug("peer dial failed", "address", address.HostPort, "error", err)
		}
		wait.For(ctx, backoff(failures, rand.Float64()))
		n.awaitNoLink(ctx, remote.Daemon)
	}
}

// awaitNoLink waits until there is no link to a daemon.
func (n *Network) awaitNoLink(ctx context.Context, daemon fleet.DaemonID) {
	for {
		linked, changed := n.linked(daemon)
		if !linked {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// dialOnce dials an address and, if the acceptor accepts the link, serves it
// until it closes.
func (n *Network) dialOnce(ctx context.Context, address Address) (identity, verdict, error) {
	conn, err := n.dial(ctx, address.HostPort)
	if err != nil {
		return identity{}, 0, err
	}
	defer func() { _ = conn.CloseNow() }()
	remote, result, err := handshakeAsDialer(ctx, conn, n.self, n.options.Secret)
	if err != nil {
		n.counters.refusedHandshakes.Inc()
		return identity{}, 0, err
	}
	if remote.DataCentre != address.DataCentre {
		err := &WrongDataCentreError{Address: address.HostPort, Want: address.DataCentre, Got: remote.DataCentre}
		n.options.Logger.Error("peer rejected", "error", err)
		return identity{}, 0, err
	}
	if remote.Daemon == n.options.Self {
		return remote, verdictSelf, nil
	}
	if result == verdictAccepted {
		n.runLink(newLink(ctx, n, conn, remote, true))
	}
	return remote, result, nil
}

func (n *Network) dial(ctx context.Context, hostPort string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws"
	if n.options.ClientTLS != nil {
		scheme = "wss"
	}
	transport := &http.Transport{
		DialContext:       n.options.Dial,
		TLSClientConfig:   n.options.ClientTLS,
		DisableKeepAlives: true,
	}
	conn, _, err := websocket.Dial(ctx, scheme+"://"+hostPort+Path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, &DialError{Address: hostPort, Err: err}
	}
	return conn, nil
}
