package infra

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMList is the interface of the platform's list of live and leaving VMs. The
// list is eventually consistent: it may lag behind the state of the VMs.
type VMList interface {
	VMs(ctx context.Context) ([]fleet.VM, error)
}
