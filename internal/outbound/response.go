package outbound

import (
	"io"
	"net/http"
)

// Response is an HTTP response whose body has not been read yet. The caller must close the body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Reused bool   // it came on a connection that had been used before
	Via    string // daemon through which it came; empty: it came directly
}
