package order

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Dependencies are the collaborators and settings of a Runner.
type Dependencies struct {
	Context    context.Context // cancelled when the daemon stops
	Slots      *Follower
	Service    endpoint.Service
	Usable     func(address string) bool // reports whether an endpoint is considered healthy
	Metrics    *Metrics
	InProgress int // limit of orders whose outcome is not recorded yet; 0 is the default
	// ClaimTimeout bounds the wait for the verdict on a claim while the log answers
	// no call; 0 is the default. While the log answers, the wait is bounded by three
	// quarters of the order's timeout.
	ClaimTimeout time.Duration
	Now          func() time.Time
}
