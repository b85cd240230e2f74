package testbed

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// latchedVMList is a list of VMs behind a latch.
type latchedVMList struct {
	platform.VMList
	latch *Latch
}

// VMs implements platform.VMList.
func (l *latchedVMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	if err := l.latch.pass(ctx); err != nil {
		return nil, &platform.UnavailableError{Operation: "list VMs", Err: err}
	}
	if l.latch.isCut(SideVMs) {
		return nil, &platform.UnavailableError{Operation: "list VMs", Err: &CutError{Side: SideVMs}}
	}
	return l.VMList.VMs(ctx)
}
