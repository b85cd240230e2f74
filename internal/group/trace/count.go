package trace

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// count adds the cost of one step. A healthy VM is stranded if it does not serve
// while groups are missing that could use it: it is loading, in an incomplete
// group, or free. Spare VMs beyond those that the missing groups need are not
// stranded, so that a release alone does not lower the cost.
func (r *replay) count(world group.World, cost *Cost) {
	complete, busy := r.complete(world)
	missingVMs := 0
	for i := range r.trace.Models {
		model := &r.trace.Models[i]
		missing := max(0, model.ReplicasIn(DataCentre)-complete[model.Name])
		missingVMs += missing * model.Members
		cost.add(model, missing)
	}
	idle := 0
	for id, m := range r.vms {
		if m.healthy() && !m.vm.Leaving && !busy[id] {
			idle++
		}
	}
	cost.Stranded += float64(min(idle, missingVMs)*r.trace.Accelerators) * step.Seconds()
}

func (c *Cost) add(model *config.Model, missing int) {
	c.Downtime += float64(missing) * step.Seconds()
	c.Valued += float64(missing) * group.DowntimeValue(model) * step.Seconds()
}

// complete returns the number of serving groups by model, and the VMs in them. A
// group serves only if its members are healthy both in the simulation and by
// their reports.
func (r *replay) complete(world group.World) (map[fleet.ModelName]int, map[fleet.VMID]bool) {
	complete := map[fleet.ModelName]int{}
	busy := map[fleet.VMID]bool{}
	for _, record := range r.fold.Groups() {
		if !r.allHealthy(record) || group.Check(record, world, r.now, bounds.ReportBound) != group.Complete {
			continue
		}
		complete[record.Model]++
		for _, vm := range record.Members {
			busy[vm] = true
		}
	}
	return complete, busy
}

func (r *replay) allHealthy(record *group.Record) bool {
	for _, vm := range record.Members {
		if !r.vms[vm].healthy() {
			return false
		}
	}
	return true
}
