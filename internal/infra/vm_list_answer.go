package infra

import "github.com/plantainmux/plantainmux/internal/fleet"

// VMListAnswer is the response body of the VM list.
type VMListAnswer struct {
	VMs []fleet.VM `json:"vms"`
}
