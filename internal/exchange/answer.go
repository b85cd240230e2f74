package exchange

import (
	"io"
	"net/http"
)

// Answer is what an endpoint answered, with its body still to be read. Reading
// ends with io.EOF only if the body is whole.
type Answer struct {
	Status int
	Header http.Header // what is passed on to the caller
	Body   io.ReadCloser
}

// Succeeded reports whether the endpoint served the request.
func (a *Answer) Succeeded() bool { return a.Status >= 200 && a.Status < 300 }
