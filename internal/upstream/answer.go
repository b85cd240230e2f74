package upstream

import (
	"io"
	"net/http"
	"time"
)

// Answer is an answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header

	pool     *Pool
	conn     *conn
	response *http.Response
	stop     func() bool // of the watch on the request's context
	whole    bool
	closed   bool
}

// Read reads the body. It returns io.EOF only at the body's end as the server
// framed it; a connection that breaks before is another error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Framed reports whether the body's end is marked by a length or a last chunk,
// and not by the connection's end.
func (a *Answer) Framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Close gives the connection back after a whole body and closes it otherwise.
func (a *Answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	if !a.stop() || !a.whole || !a.conn.keep(a.response, time.Now()) {
		return a.conn.Close()
	}
	a.pool.put(a.conn)
	return nil
}
