package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// MakePlan returns the proposals that bring the groups of a data centre towards
// the configuration.
func MakePlan(in Input) Plan {
	p := planner{in: in}
	p.planReadies()
	p.planReleases()
	p.planForms()
	return p.plan
}

type planner struct {
	in   Input
	plan Plan
	kept []*Record
}

func (p *planner) planReadies() {
	for _, record := range p.sortedGroups() {
		if record.IsReady() {
			continue
		}
		if boots, ok := p.loadedBoots(record); ok {
			p.plan.Readies = append(p.plan.Readies, Ready{Group: record.Fencing, Boots: boots})
		}
	}
}

func (p *planner) sortedGroups() []*Record {
	records := make([]*Record, 0, len(p.in.Fold.groups))
	for _, record := range p.in.Fold.groups {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.Fencing, b.Fencing) })
	return records
}

// loadedBoots returns the boots of the members once all have loaded.
func (p *planner) loadedBoots(record *Record) (map[fleet.VMID]fleet.BootID, bool) {
	boots := make(map[fleet.VMID]fleet.BootID, len(record.Members))
	for _, vm := range record.Members {
		observation := p.in.World.Observations[vm]
		report := observation.Report
		if !observation.Fresh(p.in.Now, p.in.Bounds.ReportBound) || report.Group != record.Fencing || report.State != fleet.EngineReady {
			return nil, false
		}
		boots[vm] = report.Boot
	}
	return boots, true
}

func (p *planner) planReleases() {
	for _, record := range p.sortedGroups() {
		if reason, ok := p.releaseReason(record); ok {
			p.plan.Releases = append(p.plan.Releases, Release{Group: record.Fencing, Reason: reason})
			continue
		}
		p.kept = append(p.kept, record)
	}
}

func (p *planner) releaseReason(record *Record) (ReleaseReason, bool) {
	for _, vm := range record.Members {
		if p.lost(record, vm) {
			return MemberLost, true
		}
		if p.in.World.VMs[vm].Leaving {
			return MemberLeaving, true
		}
	}
	if !record.IsReady() && p.in.Now.Sub(record.FormedAt) > p.in.Bounds.LoadLimit {
		return NeverReady, true
	}
	if p.wanted(record.Model, record.Version) == 0 {
		return NotWanted, true
	}
	return "", false
}

// lost reports whether a member cannot come back to its group: it restarted,
// or it has been silent for too long.
func (p *planner) lost(record *Record, vm fleet.VMID) bool {
	observation, ok := p.in.World.Observations[vm]
	if !ok {
		return p.in.Now.Sub(record.FormedAt) > p.in.Bounds.LostAfter
	}
	if record.IsReady() && observation.Report.Boot != record.Boots[vm] && observation.At.After(record.ReadyAt) {
		return true
	}
	return p.in.Now.Sub(observation.At) > p.in.Bounds.LostAfter
}

func (p *planner) wanted(name fleet.ModelName, version string) int {
	for _, model := range p.in.Config.Models {
		if model.Name == name && model.Version == version {
			return model.ReplicasIn(p.in.DataCentre)
		}
	}
	return 0
}

func (p *planner) planForms() {
	free := p.freeVMs()
	for _, model := range p.in.Config.Models {
		missing := model.ReplicasIn(p.in.DataCentre) - p.countKept(model)
		for ; missing > 0; missing-- {
			form, ok := p.pickMembers(model, free)
			if !ok {
				break
			}
			p.plan.Forms = append(p.plan.Forms, form)
		}
	}
}

func (p *planner) countKept(model config.Model) int {
	count := 0
	for _, record := range p.kept {
		if record.Model == model.Name && record.Version == model.Version {
			count++
		}
	}
	return count
}

// freeVMs returns the VMs that a form may name, by fabric domain.
func (p *planner) freeVMs() map[fleet.FabricDomain][]fleet.VMID {
	free := map[fleet.FabricDomain][]fleet.VMID{}
	for id, vm := range p.in.World.VMs {
		if p.isFree(vm) {
			free[vm.FabricDomain] = append(free[vm.FabricDomain], id)
		}
	}
	for domain := range free {
		slices.Sort(free[domain])
	}
	return free
}

func (p *planner) isFree(vm fleet.VM) bool {
	state := p.in.Fold.VM(vm.ID)
	if vm.Leaving || vm.DataCentre != p.in.DataCentre || state.Group != fleet.NoGroup || p.in.Now.Before(state.RestUntil) {
		return false
	}
	observation, ok := p.in.World.Observations[vm.ID]
	return ok && observation.Fresh(p.in.Now, p.in.Bounds.ReportBound)
}

// pickMembers takes the members from the fabric domain with the most free VMs.
func (p *planner) pickMembers(model config.Model, free map[fleet.FabricDomain][]fleet.VMID) (Form, bool) {
	best := fleet.FabricDomain("")
	for domain, vms := range free {
		if len(vms) < model.Members {
			continue
		}
		if best == "" || len(vms) > len(free[best]) || len(vms) == len(free[best]) && domain < best {
			best = domain
		}
	}
	if best == "" {
		return Form{}, false
	}
	members := free[best][:model.Members]
	free[best] = free[best][model.Members:]
	return Form{
		Model:        model.Name,
		Version:      model.Version,
		Adapters:     model.Adapters,
		DataCentre:   p.in.DataCentre,
		FabricDomain: best,
		Members:      members,
		RestMillis:   p.rest(model).Milliseconds(),
	}, true
}

// rest is how long a released VM stays unused: an engine that checks fencing
// numbers refuses late orders by itself.
func (p *planner) rest(model config.Model) time.Duration {
	if model.ChecksFencing {
		return 0
	}
	return p.in.Bounds.OrderLife
}
