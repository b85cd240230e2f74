package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Form grants VMs to a new group. Its offset is the fencing number of the
// group.
type Form struct {
	Model        fleet.ModelName    `json:"model"`
	Version      string             `json:"version"`
	Adapters     []string           `json:"adapters"`
	DataCentre   fleet.DataCentre   `json:"data_centre"`
	FabricDomain fleet.FabricDomain `json:"fabric_domain"`
	Members      []fleet.VMID       `json:"members"`
	RestMillis   int64              `json:"rest_millis"` // rest of each VM once released; 0 when its engine checks fencing numbers
}
