package endpoint

import "net/http"

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header // headers of the caller that may be forwarded
	Key    string      // idempotency key, empty for idempotent calls
	Body   []byte
}
