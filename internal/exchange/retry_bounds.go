package exchange

import (
	"time"
)

// RetryBounds limits the retries to a service: arrivals beyond the first of each
// request.
type RetryBounds struct {
	Share  float64 // retries allowed per request of a window
	Slack  float64 // additional retries per window, over all daemons
	Window time.Duration
}
