package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Drain is the record that stops new requests to a group, so that running ones
// finish before it is released.
type Drain struct {
	Group  fleet.FencingNumber `json:"group"`
	Reason ReleaseReason       `json:"reason"`
}
