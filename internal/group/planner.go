package group

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// MakePlan returns the records to propose so that the groups of a data centre
// converge to the configuration. It weighs group downtime against stranded
// accelerators by the configured weights:
//
//   - when a member stops reporting, a replacement group loads on spare VMs;
//     whichever of the two groups is complete first is kept;
//   - without spare VMs, a suspended group is released after its grace period,
//     and only if its VMs then suffice for a new group;
//   - a group with a lower cost rate is preempted for one with a higher rate;
//   - a group of an outdated version, or with a flapping member, serves until
//     its replacement does;
//   - a serving group is drained before it is released.
func MakePlan(in Input) Plan {
	p := newPlanner(in)
	p.classify()
	p.planReleases()
	p.planSurplus()
	p.planForms()
	p.planRepairs()
	p.planRollouts()
	p.planReadies()
	return p.plan
}

type planner struct {
	in                 Input
	plan               Plan
	models             map[fleet.ModelName]*config.Model
	accelerators       int  // per VM
	rollingReplacement bool // at least one VM is leaving
	groups             []*candidateGroup
	free               map[fleet.FabricDomain][]fleet.VMID // preferred first
	pending            map[fleet.FabricDomain]int          // VMs that become free soon
	// pendingStable counts the pending VMs of no group (released, but not free yet)
	// that are not flapping.
	pendingStable    map[fleet.FabricDomain]int
	pendingFromEnded map[fleet.FabricDomain]int // pending VMs of groups that are draining or ended by this plan
	loadingVMs       int
	unmet            []need
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:           in,
		models:       map[fleet.ModelName]*config.Model{},
		accelerators: in.accelerators(),
	}
	for _, vm := range in.World.VMs {
		p.rollingReplacement = p.rollingReplacement || vm.Leaving
	}
	for i := range in.Config.Models {
		p.models[in.Config.Models[i].Name] = &in.Config.Models[i]
	}
	return p
}

// count returns the number of groups of a model that the plan keeps and that
// satisfy test.
func (p *planner) count(model *config.Model, test func(*candidateGroup) bool) int {
	count := 0
	for _, g := range p.groups {
		if g.model == model && !g.ended && test(g) {
			count++
		}
	}
	return count
}

func (p *planner) release(g *candidateGroup, reason ReleaseReason) {
	g.ended = true
	p.plan.Releases = append(p.plan.Releases, Release{Group: g.Fencing, Reason: reason})
}

// end releases a group, or drains it first if it is serving and so may have
// requests.
func (p *planner) end(g *candidateGroup, reason ReleaseReason) {
	if g.state != serving {
		p.release(g, reason)
		return
	}
	g.ended = true
	p.plan.Drains = append(p.plan.Drains, Drain{Group: g.Fencing, Reason: reason})
}
