package order

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Dependencies are what a Runner works with.
type Dependencies struct {
	Context    context.Context // ends with the daemon
	Slots      *Follower
	Service    endpoint.Service
	Usable     func(address string) bool // whether an endpoint is healthy as far as known
	Metrics    *Metrics
	InProgress int // most orders whose outcome is not recorded yet
	// ClaimTimeout bounds the wait for the verdict on a claim while the log serves
	// no call. While it does, three quarters of the order's time bound it.
	ClaimTimeout time.Duration
	Now          func() time.Time
}
