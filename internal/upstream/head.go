package upstream

import "net/http"

// Head holds the request line and the headers of a request.
type Head struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
}
