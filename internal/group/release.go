package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Release takes a group apart.
type Release struct {
	Group  fleet.FencingNumber `json:"group"`
	Reason ReleaseReason       `json:"reason"`
}
