package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Ready is the record that all members of a group have loaded, with the boot ID
// of each. A member that reboots after it makes the group permanently incomplete.
type Ready struct {
	Group fleet.FencingNumber         `json:"group"`
	Boots map[fleet.VMID]fleet.BootID `json:"boots"`
}
