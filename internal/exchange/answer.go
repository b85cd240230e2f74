package exchange

import (
	"io"
	"net/http"
)

// Answer is an endpoint's response whose body has not been read yet. Reading the
// body ends with io.EOF only if the body is complete.
type Answer struct {
	Status int
	Header http.Header // forwarded to the caller
	Body   io.ReadCloser
	// NamesLimit states that the answer names a limit of the endpoint.
	NamesLimit bool
}

// Succeeded reports whether the endpoint answered with a 2xx status.
func (a *Answer) Succeeded() bool { return a.Status >= 200 && a.Status < 300 }
