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
	// Addresses are those of Members, in their order. A daemon that cannot read
	// the list of VMs finds the members by them.
	Addresses []string `json:"addresses"`
	// Fences are the fencing numbers of Members, in their order, that the
	// proposer saw them free under. A VM that was granted and released again since
	// then may have to rest again, so the form is void.
	Fences     []fleet.FencingNumber `json:"fences"`
	RestMillis int64                 `json:"rest_millis"` // rest of each VM once released; 0 when its engine checks fencing numbers
}
