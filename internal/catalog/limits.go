package catalog

import "time"

// Limits bound the size and duration of requests from callers.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
