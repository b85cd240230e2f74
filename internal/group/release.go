package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Release is the record that ends a group and frees its VMs.
type Release struct {
	Group  fleet.FencingNumber `json:"group"`
	Reason ReleaseReason       `json:"reason"`
}
