package grace

import "time"

// State describes a stopping daemon when a request has been read whole.
type State struct {
	Stopping  time.Duration // time since the daemon began to stop; 0: it is not stopping
	Admission time.Duration // time after the stop during which all requests are begun
	Left      time.Duration // until the connections are closed
	Remaining time.Duration // until the request's deadline, by which it is answered in any case
}
