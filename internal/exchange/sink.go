package exchange

import "net/http"

// Sink sends the answer of one request to its caller.
type Sink interface {
	// Complete sends a complete answer.
	Complete(status int, header http.Header, body []byte) error
	// Begin sends the head of an event stream.
	Begin(status int, header http.Header) error
	// Events sends further bytes of an event stream and flushes them.
	Events(data []byte) error
	// Interrupt makes a call that blocks, and all later ones, fail. It may be called at any time.
	Interrupt()
}
