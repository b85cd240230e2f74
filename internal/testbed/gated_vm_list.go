package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// gatedVMList is an infra.VMList whose calls pass through a Latch.
type gatedVMList struct {
	infra.VMList
	gate *Latch
}

// VMs implements infra.VMList.
func (l *gatedVMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	if err := l.gate.awaitThaw(ctx); err != nil {
		return nil, &infra.UnavailableError{Operation: "list VMs", Err: err}
	}
	if l.gate.isCut(SideVMs) {
		return nil, &infra.UnavailableError{Operation: "list VMs", Err: &CutError{Side: SideVMs}}
	}
	return l.VMList.VMs(ctx)
}
