package upstream

import (
	"io"
	"net/http"
	"time"
)

// Answer is an HTTP response whose body has not been read yet. The caller must close it.
type Answer struct {
	Status int
	Header http.Header

	pool      *Pool
	conn      *conn
	response  *http.Response
	stopWatch func() bool // cancels the AfterFunc on the request's context
	complete  bool
	closed    bool
}

// Read reads the body. It returns io.EOF only at the end of the body as framed by the
// server, and another error if the connection breaks before.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Framed reports whether the end of the body is given by a content length or a last
// chunk, and not by the end of the connection.
func (a *Answer) Framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Close returns the connection to the pool if the body was read completely and the
// connection can be reused, and closes it otherwise.
func (a *Answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	if !a.stopWatch() || !a.complete || !a.conn.keepAlive(a.response, time.Now()) {
		return a.conn.Close()
	}
	a.pool.put(a.conn)
	return nil
}
