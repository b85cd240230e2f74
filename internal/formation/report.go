package formation

import "github.com/plantainmux/plantainmux/internal/registry"

// Report is what an endpoint says of itself when asked.
type Report struct {
	Born   int64 // Unix milliseconds of its start
	Group  registry.Membership
	SlowBy float64 // factor on its times; 1 is the usual pace, 0 not told
}
