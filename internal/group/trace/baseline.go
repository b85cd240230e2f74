package trace

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// ReplaceAtOnce is the baseline policy that releases a group as soon as a member
// does not report or is leaving, and forms missing groups on any free VMs.
func ReplaceAtOnce(in group.Input) group.Plan {
	return baseline(in, func(record *group.Record) bool {
		return record.IsReady() && condition(in, record) != group.Complete || anySilent(in, record)
	})
}

// WaitAlways is the baseline policy that releases a group only if a member
// rebooted or moved, so that the group can never be complete again.
func WaitAlways(in group.Input) group.Plan {
	return baseline(in, func(record *group.Record) bool {
		return record.IsReady() && (condition(in, record) == group.MemberBooted || condition(in, record) == group.MemberMoved)
	})
}

func condition(in group.Input, record *group.Record) group.Condition {
	return group.Check(record, in.World, in.Now, in.Bounds.ReportBound)
}

func anySilent(in group.Input, record *group.Record) bool {
	return slices.ContainsFunc(record.Members, func(vm fleet.VMID) bool {
		return !in.World.Observations[vm].Fresh(in.Now, in.Bounds.ReportBound)
	})
}

// baseline releases the groups for which ends returns true, and forms the missing
// groups in the order of the configuration, in the fabric domains with the most
// free VMs.
func baseline(in group.Input, ends func(*group.Record) bool) group.Plan {
	plan := group.Plan{Readies: group.MakePlan(in).Readies}
	kept := map[fleet.ModelName]int{}
	for fencing, record := range in.Fold.Groups() {
		if ends(record) {
			plan.Releases = append(plan.Releases, group.Release{Group: fencing, Reason: group.MemberLost})
			continue
		}
		kept[record.Model]++
	}
	free := freeVMs(in)
	for i := range in.Config.Models {
		model := &in.Config.Models[i]
		for range model.ReplicasIn(in.DataCentre) - kept[model.Name] {
			if form, ok := formInLargestDomain(in, model, free); ok {
				plan.Forms = append(plan.Forms, form)
			}
		}
	}
	return plan
}

func freeVMs(in group.Input) map[fleet.FabricDomain][]fleet.VMID {
	free := map[fleet.FabricDomain][]fleet.VMID{}
	for id, vm := range in.World.VMs {
		observation := in.World.Observations[id]
		if vm.Leaving || in.Fold.VM(id).Group != fleet.NoGroup || observation.Report.Group != fleet.NoGroup || !observation.Fresh(in.Now, in.Bounds.ReportBound) {
			continue
		}
		free[vm.FabricDomain] = append(free[vm.FabricDomain], id)
	}
	for _, vms := range free {
		slices.Sort(vms)
	}
	return free
}

func formInLargestDomain(in group.Input, model *config.Model, free map[fleet.FabricDomain][]fleet.VMID) (group.Form, bool) {
	best := fleet.FabricDomain("")
	for domain, vms := range free {
		if len(vms) >= model.Members && (best == "" || len(vms) > len(free[best]) || len(vms) == len(free[best]) && domain < best) {
			best = domain
		}
	}
	if best == "" {
		return group.Form{}, false
	}
	form := group.Form{
		Model:        model.Name,
		Version:      model.Version,
		DataCentre:   in.DataCentre,
		FabricDomain: best,
		Members:      free[best][:model.Members],
	}
	free[best] = free[best][model.Members:]
	for _, vm := range form.Members {
		form.Addresses = append(form.Addresses, in.World.VMs[vm].Address)
		form.Fences = append(form.Fences, in.Fold.VM(vm).Fence)
	}
	return form, true
}
