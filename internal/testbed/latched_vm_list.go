package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// latchedVMList is a list of VMs behind a latch.
type latchedVMList struct {
	infra.VMList
	latch *Latch
}

// VMs implements infra.VMList.
func (l *latchedVMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	if err := l.latch.pass(ctx); err != nil {
		return nil, &infra.UnavailableError{Operation: "list VMs", Err: err}
	}
	if l.latch.isCut(SideVMs) {
		return nil, &infra.UnavailableError{Operation: "list VMs", Err: &CutError{Side: SideVMs}}
	}
	return l.VMList.VMs(ctx)
}
