package watch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// VMs follows the platform's list of VMs. It keeps the last list when the
// platform is away.
type VMs struct {
	list       platform.VMList
	dataCentre fleet.DataCentre
	period     time.Duration
	logger     *slog.Logger
	onChange   func()
	current    atomic.Pointer[map[fleet.VMID]fleet.VM]
}

// NewVMs returns a follower of the VMs of one data centre.
func NewVMs(list platform.VMList, dataCentre fleet.DataCentre, period time.Duration, logger *slog.Logger, onChange func()) *VMs {
	v := &VMs{list: list, dataCentre: dataCentre, period: period, logger: logger, onChange: onChange}
	v.current.Store(&map[fleet.VMID]fleet.VM{})
	return v
}

// All returns the VMs of the data centre. The map must not be changed.
func (v *VMs) All() map[fleet.VMID]fleet.VM {
	return *v.current.Load()
}

// Run reads the list until ctx ends.
func (v *VMs) Run(ctx context.Context) {
	ticker := time.NewTicker(v.period)
	defer ticker.Stop()
	for {
		v.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *VMs) refresh(ctx context.Context) {
	vms, err := v.list.VMs(ctx)
	if err != nil {
		v.logger.Warn("list of VMs not read", "error", err)
		return
	}
	own := make(map[fleet.VMID]fleet.VM)
	for _, vm := range vms {
		if vm.DataCentre == v.dataCentre {
			own[vm.ID] = vm
		}
	}
	v.current.Store(&own)
	v.onChange()
}
