package exchange

import "time"

// Call is one attempt of a request.
type Call struct {
	*Request
	Remaining time.Duration // time that the endpoint may take
	After     string        // ID of the event after which the stream resumes; empty: from the start
}
