package callerconn

import "time"

// Timeouts bound how long a caller may leave a connection without a request.
type Timeouts struct {
	Header time.Duration // to send the head of a request; 0: not limited
	Idle   time.Duration // between two requests; 0: not limited
}
