package view

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// GroupStatus shows operators whether a group serves, and why not.
type GroupStatus struct {
	fleet.Group
	Condition group.Condition `json:"condition"`
	Missing   []fleet.VMID    `json:"missing,omitempty"` // members because of which a ready group does not serve
}
