package group

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// findFree groups the free VMs by fabric domain and sorts them by preference:
// stable VMs before flapping ones, then the most recently booted first, since a
// rolling replacement has not reached the others yet.
func (p *planner) findFree() {
	p.free = map[fleet.FabricDomain][]fleet.VMID{}
	p.pending = map[fleet.FabricDomain]int{}
	p.pendingStable = map[fleet.FabricDomain]int{}
	p.pendingFromEnded = map[fleet.FabricDomain]int{}
	for id, vm := range p.in.World.VMs {
		switch {
		case !p.unassigned(vm):
		case p.isFree(id):
			p.free[vm.FabricDomain] = append(p.free[vm.FabricDomain], id)
		default:
			p.pending[vm.FabricDomain]++
			if !p.flapping(id) {
				p.pendingStable[vm.FabricDomain]++
			}
		}
	}
	p.countPending()
	for _, vms := range p.free {
		slices.SortFunc(vms, p.compareVMs)
	}
}

// countPending adds the VMs of groups that are draining or ended by this plan.
func (p *planner) countPending() {
	for _, g := range p.groups {
		if g.ended || g.state == draining {
			p.pending[g.FabricDomain] += p.reusableMembers(g)
			p.pendingFromEnded[g.FabricDomain] += p.reusableMembers(g)
		}
	}
}

// unassigned reports whether a VM is healthy and in no group, so that it can be
// assigned to a new group now or soon.
func (p *planner) unassigned(vm fleet.VM) bool {
	return !vm.Leaving &&
		vm.DataCentre == p.in.DataCentre &&
		p.in.Fold.VM(vm.ID).Group == fleet.NoGroup &&
		p.hasFreshReport(vm.ID)
}

// isFree reports whether a VM can be assigned now. It also checks the VM's own
// report: an engine that still belongs to a group, even one of another data
// centre, is not free.
func (p *planner) isFree(vm fleet.VMID) bool {
	return p.in.History.Reusable(p.in.Fold, vm, p.in.Now) &&
		p.in.World.Observations[vm].Report.Group == fleet.NoGroup
}

func (p *planner) hasFreshReport(vm fleet.VMID) bool {
	observation, ok := p.in.World.Observations[vm]
	return ok && observation.Fresh(p.in.Now, p.in.Bounds.ReportBound)
}

func (p *planner) compareVMs(a, b fleet.VMID) int {
	return cmp.Or(
		compareBool(p.flapping(a), p.flapping(b)),
		p.bootTime(b).Compare(p.bootTime(a)),
		cmp.Compare(a, b),
	)
}

func (p *planner) bootTime(vm fleet.VMID) time.Time {
	if o := p.in.History.outages[vm]; o != nil {
		return o.bootTime
	}
	return time.Time{}
}

func sortedDomains[V any](domains map[fleet.FabricDomain]V) []fleet.FabricDomain {
	return slices.Sorted(maps.Keys(domains))
}
