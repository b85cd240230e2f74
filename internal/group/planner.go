package group

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// MakePlan returns the proposals that bring the groups of a data centre towards
// the configuration. It weighs group downtime and stranded accelerators by the
// configured weights:
//
//   - a silent member is waited for; while it is, a successor loads on spares,
//     and whichever is complete first stays;
//   - without spares, a silent group is taken apart once its silence outlasts
//     its patience, and only if its VMs then make a group;
//   - a group of lower cost rate is taken apart for one of a higher rate;
//   - groups of an old version, or with a member that keeps failing, serve
//     until their successors do;
//   - what serves ends by draining.
func MakePlan(in Input) Plan {
	p := newPlanner(in)
	p.classify()
	p.planEnds()
	p.planSurplus()
	p.planForms()
	p.planRepairs()
	p.planRollouts()
	p.planReadies()
	return p.plan
}

type planner struct {
	in           Input
	plan         Plan
	models       map[fleet.ModelName]*config.Model
	accelerators int  // of one VM
	rolling      bool // some VM is leaving
	groups       []*candidateGroup
	free         map[fleet.FabricDomain][]fleet.VMID // best first
	pending      map[fleet.FabricDomain]int          // VMs that will be free soon
	// pendingSteady counts those that let go of their former group now and do
	// not keep failing.
	pendingSteady map[fleet.FabricDomain]int
	freeing       map[fleet.FabricDomain]int // pending VMs of groups that end
	loadingVMs    int
	unmet         []need
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:           in,
		models:       map[fleet.ModelName]*config.Model{},
		accelerators: in.accelerators(),
	}
	for _, vm := range in.World.VMs {
		p.rolling = p.rolling || vm.Leaving
	}
	for i := range in.Config.Models {
		p.models[in.Config.Models[i].Name] = &in.Config.Models[i]
	}
	return p
}

// count returns how many groups of a model the plan keeps that pass a test.
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

// end releases a group, or drains it first when it may have requests.
func (p *planner) end(g *candidateGroup, reason ReleaseReason) {
	if g.standing != serving {
		p.release(g, reason)
		return
	}
	g.ended = true
	p.plan.Drains = append(p.plan.Drains, Drain{Group: g.Fencing, Reason: reason})
}
