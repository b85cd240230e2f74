package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/requestpath"
)

// DenyReason is the reason why a request was not admitted.
type DenyReason string

// Reasons for a denial.
const (
	NoConfiguration DenyReason = "no_configuration" // no configuration has been read yet
	NoRoute         DenyReason = "no_route"
	NoKey           DenyReason = "no_key"      // the key belongs to no team
	DaemonStopping  DenyReason = "stopping"    // this daemon is stopping
	NoService       DenyReason = "no_service"  // the route's service is not configured
	Connections     DenyReason = "connections" // callers have as many requests in progress as this daemon has connections for
	Memory          DenyReason = "memory"      // this daemon holds as much for exchanges as it may

	NoPath                   = DenyReason(requestpath.NoPath)
	BadByte                  = DenyReason(requestpath.BadByte)
	InvalidEscape            = DenyReason(requestpath.InvalidEscape)
	AmbiguousPath DenyReason = "ambiguous_path" // another reader may choose another route
)

// Denied describes a request that was not admitted. It has not run.
type Denied struct {
	Reason     DenyReason
	RetryAfter time.Duration // 0: a retry does not help
}
