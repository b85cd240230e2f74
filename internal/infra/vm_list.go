package infra

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	VMs(ctx context.Context) ([]fleet.VM, error)
}
