package upstream

import "net/http"

// Head is what a request says before its body.
type Head struct {
	Method string
	Target string // path and query, sent as they are
	Host   string
	Header http.Header
}
