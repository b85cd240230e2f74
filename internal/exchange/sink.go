package exchange

import "net/http"

// Sink sends the answer of one request to its caller.
type Sink interface {
	// Whole sends a complete answer.
	Whole(status int, header http.Header, body []byte) error
	// Begin sends the head of an event stream.
	Begin(status int, header http.Header) error
	// Events sends complete events and flushes them.
	Events(data []byte) error
}
