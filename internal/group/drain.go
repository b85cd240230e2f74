package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Drain ends new work on a group, so that its requests finish before it is
// released.
type Drain struct {
	Group  fleet.FencingNumber `json:"group"`
	Reason ReleaseReason       `json:"reason"`
}
