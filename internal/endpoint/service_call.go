package endpoint

import "net/http"

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header // headers of the caller that may be passed on
	Key    string      // idempotency key, empty for idempotent calls
	Body   []byte
}
