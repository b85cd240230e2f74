package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Ready says that all members of a group have loaded, and in which boot. From
// then on a member in another boot makes the group incomplete for ever.
type Ready struct {
	Group fleet.FencingNumber         `json:"group"`
	Boots map[fleet.VMID]fleet.BootID `json:"boots"`
}
