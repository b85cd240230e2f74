package exchange

import "net/http"

// Sink takes the answer of one request to its caller.
type Sink interface {
	// Whole passes on a whole answer.
	Whole(status int, header http.Header, body []byte) error
	// Begin begins an answer of events.
	Begin(status int, header http.Header) error
	// Events passes on whole events at once.
	Events(data []byte) error
}
