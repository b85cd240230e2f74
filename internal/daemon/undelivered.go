package daemon

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// withdrawUndelivered takes back what is under way to addresses at which nothing takes requests any more, until ctx ends.
func (d *Daemon) withdrawUndelivered(ctx context.Context) {
	for wait.For(ctx, reviewInterval) {
		d.delivery.WithdrawFromUnused(usedAddresses(d.views.Load(), d.vms.All()))
	}
}

// usedAddresses returns the addresses that take requests: those of the services, and of the leaders of groups that neither drain
// nor have a VM that leaves. A group whose member is silent may serve again.
func usedAddresses(v *view.View, vms map[fleet.VMID]fleet.VM) map[string]bool {
	used := map[string]bool{}
	for _, status := range v.Status {
		if status.Condition != group.Draining && status.Condition != group.MemberVMLeaving {
			used[vms[status.Leader()].Address] = true
		}
	}
	for _, serving := range v.Groups { // whose leader the list of VMs may lack
		used[serving.LeaderAddress] = true
	}
	for _, service := range v.Services {
		for _, e := range service.Endpoints {
			used[e.Address] = true
		}
	}
	return used
}
