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
	InProgress int // orders whose outcome is not recorded yet
	Now        func() time.Time
}
