package infra

import "github.com/plantainmux/plantainmux/internal/fleet"

// VMListResponse is the response body of the VM list.
type VMListResponse struct {
	VMs []fleet.VM `json:"vms"`
}
