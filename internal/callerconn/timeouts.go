package callerconn

import "time"

// Timeouts bound how long a caller may leave a connection without a request.
type Timeouts struct {
	Header time.Duration // to send the head of a request; 0: not limited
	Idle   time.Duration // between two requests; 0: not limited
}

// atLeast returns the longer of each of two timeouts. Those that are zero in earlier are not known.
func (t Timeouts) atLeast(earlier Timeouts) Timeouts {
	longer := func(a, b time.Duration) time.Duration {
		if a == 0 {
			return 0
		}
		return max(a, b)
	}
	return Timeouts{Header: longer(t.Header, earlier.Header), Idle: longer(t.Idle, earlier.Idle)}
}
