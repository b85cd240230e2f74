package delivery

import (
	"bufio"
	"net"
	"net/http"
)

// hijacker is the response to a request to upgrade a connection. The connection is tracked from the upgrade on; one that goes on
// with HTTP ends as usual.
type hijacker struct {
	http.ResponseWriter
	tracker *Tracker
	to      Peer
	address string
}

// TrackUpgrade returns a response over which a connection of another process is upgraded to one that is tracked until it is closed.
func (t *Tracker) TrackUpgrade(from Peer, w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	return &hijacker{ResponseWriter: w, tracker: t, to: from, address: r.RemoteAddr}
}

// Hijack implements http.Hijacker.
func (h *hijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	raw, buffers, err := http.NewResponseController(h.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	conn := h.tracker.Track(h.to, h.address, raw)
	buffers.Writer.Reset(conn) // what is left in it has been flushed
	return conn, buffers, nil
}
