package callerconn

import (
	"net"
	"net/http"
	"time"
)

// restPatience is how long the rest of a body that the handler has not read may take: the server reads it before it
// answers, so that the connection can be used again.
const restPatience = time.Second

// Attach makes a server report the states of its connections, which are those of l.
func (l *Listener) Attach(server *http.Server) {
	server.ConnContext = withConn
	server.ConnState = l.observe
}

// Handler returns a handler that counts the requests in progress of next, and has refuse answer those
// beyond the limit.
func (l *Listener) Handler(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := trackedOf(connOf(r.Context()))
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		uploads := r.ContentLength != 0
		if uploads {
			defer limitRest(w)
			defer c.answered()
		}
		began := l.begin(c, uploads)
		fits := l.settleHead(c, r)
		switch {
		case began == closed:
			panic(http.ErrAbortHandler) // the answer would reach nobody
		case began == refused || !fits:
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// limitRest limits the time to read the rest of a body. The server lifts the limit for the next request.
func limitRest(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restPatience)) // supported by all connections of the server
}

// observe implements http.Server.ConnState.
func (l *Listener) observe(conn net.Conn, to http.ConnState) {
	c := trackedOf(conn)
	if c == nil {
		return
	}
	switch to {
	case http.StateIdle:
		l.move(c, idle)
	case http.StateHijacked:
		c.hijacked.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Time{})
		l.move(c, closed)
	case http.StateClosed:
		l.move(c, closed)
	default: // a request counts from the end of its head on
	}
}
