package exchange

import "time"

// Call is one attempt of a request.
type Call struct {
	*Request
	Remaining time.Duration // that the endpoint may take
	After     string        // the event after which the stream goes on; empty: from its beginning
}
