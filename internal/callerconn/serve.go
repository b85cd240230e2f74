package callerconn

import (
	"net"
	"net/http"
)

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
		switch l.begin(c) {
		case closed:
			panic(http.ErrAbortHandler) // the answer would reach nobody
		case refused:
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
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
	case http.StateHijacked, http.StateClosed:
		l.move(c, closed)
	default: // a request counts from the end of its head on
	}
}
