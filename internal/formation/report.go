package formation

import "github.com/plantainmux/plantainmux/internal/registry"

// Report is the state that an endpoint returns to a probe.
type Report struct {
	Born   int64 // start time of the incarnation, Unix milliseconds
	Group  registry.Membership
	SlowBy float64 // slowdown factor; 1 is normal speed, 0 means not reported
}
