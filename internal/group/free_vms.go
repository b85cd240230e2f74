package group

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// findFree sorts the free VMs by fabric domain, the best first: steady ones
// before those that keep failing, and those that booted last before the
// others, which a rolling replacement has yet to reach.
func (p *planner) findFree() {
	p.free = map[fleet.FabricDomain][]fleet.VMID{}
	p.pending = map[fleet.FabricDomain]int{}
	p.pendingSteady = map[fleet.FabricDomain]int{}
	p.freeing = map[fleet.FabricDomain]int{}
	for id, vm := range p.in.World.VMs {
		switch {
		case !p.usable(vm):
		case p.isFree(id):
			p.free[vm.FabricDomain] = append(p.free[vm.FabricDomain], id)
		default:
			p.pending[vm.FabricDomain]++
			if !p.unsteady(id) {
				p.pendingSteady[vm.FabricDomain]++
			}
		}
	}
	p.findPending()
	for _, vms := range p.free {
		slices.SortFunc(vms, p.compareVMs)
	}
}

// findPending counts the VMs of groups that end.
func (p *planner) findPending() {
	for _, g := range p.groups {
		if g.ended || g.standing == going {
			p.pending[g.FabricDomain] += p.survivors(g)
			p.freeing[g.FabricDomain] += p.survivors(g)
		}
	}
}

// usable reports whether a VM is in no group and may be named in a form, now
// or soon.
func (p *planner) usable(vm fleet.VM) bool {
	return !vm.Leaving &&
		vm.DataCentre == p.in.DataCentre &&
		p.in.Fold.VM(vm.ID).Group == fleet.NoGroup &&
		p.fresh(vm.ID)
}

// isFree asks the VM's own report too: an engine that still works for a group,
// also one of another data centre, is not free.
func (p *planner) isFree(vm fleet.VMID) bool {
	return p.in.History.Rested(p.in.Fold, vm, p.in.Now) &&
		p.in.World.Observations[vm].Report.Group == fleet.NoGroup
}

func (p *planner) fresh(vm fleet.VMID) bool {
	observation, ok := p.in.World.Observations[vm]
	return ok && observation.Fresh(p.in.Now, p.in.Bounds.ReportBound)
}

func (p *planner) compareVMs(a, b fleet.VMID) int {
	return cmp.Or(
		compareBool(p.unsteady(a), p.unsteady(b)),
		p.bootSince(b).Compare(p.bootSince(a)),
		cmp.Compare(a, b),
	)
}

func (p *planner) bootSince(vm fleet.VMID) time.Time {
	if o := p.in.History.outages[vm]; o != nil {
		return o.bootSince
	}
	return time.Time{}
}

func sortedDomains[V any](domains map[fleet.FabricDomain]V) []fleet.FabricDomain {
	return slices.Sorted(maps.Keys(domains))
}
