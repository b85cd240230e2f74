package infra

import "github.com/plantainmux/plantainmux/internal/fleet"

// VMListAnswer is the answer of the VM list.
type VMListAnswer struct {
	VMs []fleet.VM `json:"vms"`
}
