package view

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// GroupStatus tells operators why a group does or does not serve.
type GroupStatus struct {
	fleet.Group
	Condition group.Condition `json:"condition"`
	Missing   []fleet.VMID    `json:"missing,omitempty"` // members of a ready group that keep it from serving
}
