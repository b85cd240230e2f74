package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// loadsPerPatience is the share of a load that is spent on waiting for a
	// silent member: a wait in vain makes a repair longer by no more.
	loadsPerPatience = 10
	// dismantleRatio is how much more a missing group must cost than those that
	// are taken apart for it. Above 1, two groups never take turns.
	dismantleRatio = 1.5
)

// planRepairs takes groups apart where their VMs complete a group that free VMs
// alone don't.
func (p *planner) planRepairs() {
	for _, n := range p.unmet {
		if n.covered || p.soonMet(n) {
			continue
		}
		source, ok := p.cheapestSource(n)
		if !ok {
			continue
		}
		for _, g := range source.groups {
			p.end(g, MemberLost)
		}
		p.free[source.domain] = nil // reserved
		p.pending[source.domain] = 0
	}
}

// soonMet reports whether a domain is about to free the VMs that a need lacks,
// and reserves them, so that no second group is taken apart for it. Only groups
// that end count: a VM that holds on to another group may never let go.
func (p *planner) soonMet(n need) bool {
	for _, domain := range p.domains() {
		free := min(len(p.free[domain]), n.model.Members)
		lacking := n.model.Members - free
		if lacking == 0 || p.freeing[domain] < lacking {
			continue
		}
		p.free[domain] = p.free[domain][free:]
		p.freeing[domain] -= lacking
		p.pending[domain] -= lacking
		return true
	}
	return false
}

// repairSource is a domain whose free VMs and groups make up a missing group.
type repairSource struct {
	domain fleet.FabricDomain
	groups []*candidateGroup
	cost   float64 // rate that is lost
}

func (p *planner) cheapestSource(n need) (repairSource, bool) {
	var best repairSource
	found := false
	for _, domain := range p.domains() {
		source, ok := p.sourceIn(domain, n)
		if ok && (!found || source.cost < best.cost) {
			best, found = source, true
		}
	}
	return best, found && best.cost*dismantleRatio <= p.costRate(n.model)
}

func (p *planner) domains() []fleet.FabricDomain {
	domains := map[fleet.FabricDomain]bool{}
	for _, vm := range p.in.World.VMs {
		domains[vm.FabricDomain] = true
	}
	return sortedDomains(domains)
}

func (p *planner) sourceIn(domain fleet.FabricDomain, n need) (repairSource, bool) {
	source := repairSource{domain: domain}
	have := len(p.free[domain]) + p.pending[domain]
	if have >= n.model.Members {
		return source, false // they will be free soon
	}
	for _, g := range p.sacrifices(domain, n) {
		if have >= n.model.Members {
			break
		}
		gain := p.survivors(g)
		if gain == 0 {
			continue
		}
		have += gain
		source.groups = append(source.groups, g)
		source.cost += p.lossOf(g)
	}
	return source, have >= n.model.Members
}

// sacrifices returns the groups of a domain that may be taken apart for a need,
// those that cost least first.
func (p *planner) sacrifices(domain fleet.FabricDomain, n need) []*candidateGroup {
	var found []*candidateGroup
	for _, g := range p.groups {
		if g.FabricDomain == domain && !g.ended && p.mayTakeApart(g, n) {
			found = append(found, g)
		}
	}
	slices.SortStableFunc(found, func(a, b *candidateGroup) int { return cmp.Compare(p.lossOf(a), p.lossOf(b)) })
	return found
}

// mayTakeApart lets a silent group go after its patience, and one that serves
// or loads only for another model that has been missing for as long as a load
// takes.
func (p *planner) mayTakeApart(g *candidateGroup, n need) bool {
	switch g.standing {
	case suspended:
		return g.silence > p.patience(g)
	case serving, loading:
		return g.model != n.model && n.age > p.outagePatience(n.model)
	default:
		return false
	}
}

// outagePatience is how long a model's groups are waited for before those of
// another are taken apart: about what the exchange costs in loads. A domain that
// is dark as a whole tends to come back as a whole, so it gets twice that.
func (p *planner) outagePatience(model *config.Model) time.Duration {
	patience := max(p.in.Bounds.LostAfter, loadTime(model))
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.standing == suspended && p.survivors(g) == 0 {
			return 2 * patience
		}
	}
	return patience
}

// patience is how long a silent member is waited for. One that keeps failing is
// not.
func (p *planner) patience(g *candidateGroup) time.Duration {
	if g.unsteady || g.model == nil {
		return p.in.Bounds.ReportBound
	}
	return max(p.in.Bounds.LostAfter, loadTime(g.model)/loadsPerPatience)
}

// lossOf returns the cost rate of losing a group; a silent one is lost already.
func (p *planner) lossOf(g *candidateGroup) float64 {
	if g.standing == suspended {
		return 0
	}
	return p.costRate(g.model)
}

// survivors returns how many members of a group could work for another.
func (p *planner) survivors(g *candidateGroup) int {
	count := 0
	for _, vm := range g.Members {
		if p.fresh(vm) && !p.in.World.VMs[vm].Leaving {
			count++
		}
	}
	return count
}

// planRollouts drains one group of an old version when the VMs that are left
// can't hold its successor beside it.
func (p *planner) planRollouts() {
	for i := range p.in.Config.Models {
		p.planRollout(&p.in.Config.Models[i])
	}
}

func (p *planner) planRollout(model *config.Model) {
	blocked := slices.ContainsFunc(p.unmet, func(n need) bool { return n.model == model && n.covered })
	missing := slices.ContainsFunc(p.unmet, func(n need) bool { return n.model == model && !n.covered })
	if !blocked || missing || p.underWay(model) {
		return
	}
	for _, domain := range p.domains() {
		if len(p.free[domain])+p.pending[domain] >= model.Members {
			return
		}
	}
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.standing == serving && g.outdated {
			p.end(g, Outdated)
			return
		}
	}
}

// underWay reports whether a group of the model loads, drains or is silent.
func (p *planner) underWay(model *config.Model) bool {
	return p.count(model, func(g *candidateGroup) bool { return g.standing != serving }) > 0 ||
		slices.ContainsFunc(p.plan.Drains, func(d Drain) bool { return p.modelOf(d.Group) == model.Name }) ||
		slices.ContainsFunc(p.plan.Forms, func(f Form) bool { return f.Model == model.Name })
}

func (p *planner) modelOf(fencing fleet.FencingNumber) fleet.ModelName {
	if record, ok := p.in.Fold.groups[fencing]; ok {
		return record.Model
	}
	return ""
}
