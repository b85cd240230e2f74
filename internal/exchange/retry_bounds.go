package exchange

import (
	"time"
)

// RetryBounds bound the arrivals at a service beyond the first of each request.
type RetryBounds struct {
	Share  float64 // of the requests of a window
	Slack  float64 // arrivals of a window, over all daemons
	Window time.Duration
}
