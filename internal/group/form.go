package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Form is the record that assigns VMs to a new group. Its offset in the stream is
// the fencing number of the group.
type Form struct {
	Model        fleet.ModelName    `json:"model"`
	Version      string             `json:"version"`
	Adapters     []string           `json:"adapters"`
	DataCentre   fleet.DataCentre   `json:"data_centre"`
	FabricDomain fleet.FabricDomain `json:"fabric_domain"`
	Members      []fleet.VMID       `json:"members"`
	// Addresses are the addresses of Members, in the same order. A daemon that
	// cannot read the platform's list of VMs uses them to reach the members.
	Addresses []string `json:"addresses"`
	// Fences are the fencing numbers that the proposer saw for the free Members, in
	// the same order. If a VM was assigned and released again since then, its reuse
	// delay may have started again, so the form is rejected.
	Fences           []fleet.FencingNumber `json:"fences"`
	ReuseDelayMillis int64                 `json:"rest_millis"` // reuse delay of each VM after its release; 0 if its engine checks fencing numbers
}
