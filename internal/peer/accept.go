package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"github.com/plantainmux/plantainmux/internal/delivery"
)

// Path is the HTTP path on which a daemon accepts links.
const Path = "/peer"

// Handler returns the HTTP handler that accepts links from other daemons.
func (n *Network) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, n.accept)
	return mux
}

func (n *Network) accept(w http.ResponseWriter, r *http.Request) {
	upgraded := n.options.Delivery.TrackUpgrade(delivery.Daemons, w, r)
	conn, err := websocket.Accept(upgraded, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	remote, err := handshakeAsAcceptor(n.ctx, conn, n.self, n.options.Secret)
	if err != nil {
		n.counters.refusedHandshakes.Inc()
		n.options.Logger.Warn("peer handshake failed", "remote", r.RemoteAddr, "error", err)
		return
	}
	if remote.Daemon == n.options.Self {
		_ = n.sendVerdict(conn, verdictSelf)
		return
	}
	l := newLink(n.ctx, n, conn, remote, false)
	if !n.wouldRegister(l) {
		_ = n.sendVerdict(conn, verdictDuplicate)
		return
	}
	if err := n.sendVerdict(conn, verdictAccepted); err != nil {
		return
	}
	n.runLink(l)
}

func (n *Network) sendVerdict(conn *websocket.Conn, v verdict) error {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	return writeMessage(ctx, conn, v)
}

// wouldRegister reports whether register would accept a link now.
func (n *Network) wouldRegister(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, exists := n.links[l.remote.Daemon]
	return !exists || !n.preferred(old) || n.preferred(l)
}

// runLink registers a link and serves it until it closes.
func (n *Network) runLink(l *link) {
	if !n.register(l) {
		_ = l.conn.CloseNow()
		return
	}
	n.options.Logger.Info("link up", "peer", l.remote.Daemon, "peer_data_centre", l.remote.DataCentre)
	err := l.run()
	n.unregister(l)
	n.counters.closed(closeReason(err))
	n.options.Logger.Info("link down", "peer", l.remote.Daemon, "peer_data_centre", l.remote.DataCentre, "error", err)
}
