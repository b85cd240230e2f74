package catalog

import "time"

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
