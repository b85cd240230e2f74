package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// gracePeriodDivisor limits the wait for a member without fresh reports to a
	// tenth of the load time, so that a futile wait delays the repair by no more.
	gracePeriodDivisor = 10
	// preemptionCostRatio is the minimum ratio of the cost rate of a missing group
	// to that of the groups preempted for it. A ratio above 1 prevents two groups
	// from preempting each other in turn.
	preemptionCostRatio = 1.5
)

// planRepairs preempts groups whose VMs, together with the free ones, suffice for
// a missing group.
func (p *planner) planRepairs() {
	for _, n := range p.unmet {
		if n.covered || p.reservePendingVMs(n) {
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

// reservePendingVMs reports whether the groups that end in some domain free the
// VMs that a need lacks, and reserves these VMs so that no further group is
// preempted for the need. Other pending VMs do not count: a VM that still
// reports another group may never leave it.
func (p *planner) reservePendingVMs(n need) bool {
	for _, domain := range p.domains() {
		free := min(len(p.free[domain]), n.model.Members)
		lacking := n.model.Members - free
		if lacking == 0 || p.pendingFromEnded[domain] < lacking {
			continue
		}
		p.free[domain] = p.free[domain][free:]
		p.pendingFromEnded[domain] -= lacking
		p.pending[domain] -= lacking
		return true
	}
	return false
}

// repairSource is a domain whose free VMs suffice for a missing group once groups
// are preempted.
type repairSource struct {
	domain fleet.FabricDomain
	groups []*candidateGroup
	cost   float64 // cost rate of the preempted groups
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
	return best, found && best.cost*preemptionCostRatio <= p.costRate(n.model)
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
		return source, false // enough VMs are free or become free soon
	}
	for _, g := range p.preemptionCandidates(domain, n) {
		if have >= n.model.Members {
			break
		}
		gain := p.reusableMembers(g)
		if gain == 0 {
			continue
		}
		have += gain
		source.groups = append(source.groups, g)
		source.cost += p.preemptionCost(g)
	}
	return source, have >= n.model.Members
}

// preemptionCandidates returns the groups of a domain that may be preempted for a
// need, in ascending order of cost.
func (p *planner) preemptionCandidates(domain fleet.FabricDomain, n need) []*candidateGroup {
	var found []*candidateGroup
	for _, g := range p.groups {
		if g.FabricDomain == domain && !g.ended && p.mayPreempt(g, n) {
			found = append(found, g)
		}
	}
	slices.SortStableFunc(found, func(a, b *candidateGroup) int { return cmp.Compare(p.preemptionCost(a), p.preemptionCost(b)) })
	return found
}

// mayPreempt reports whether a group may be preempted for a need: a suspended
// group after its grace period, and a serving or loading group only for another
// model that has lacked a group for longer than the preemption delay.
func (p *planner) mayPreempt(g *candidateGroup, n need) bool {
	switch g.state {
	case suspended:
		return g.reportAge > p.gracePeriod(g)
	case serving, loading:
		return g.model != n.model && n.age > p.preemptionDelay(n.model)
	default:
		return false
	}
}

// preemptionDelay returns how long the planner waits for a model's groups to
// recover before it preempts groups of another model: about one load time, the
// cost of the exchange. The delay is doubled while no member of some suspended
// group reports, since a fabric domain that fails as a whole tends to recover
// as a whole.
func (p *planner) preemptionDelay(model *config.Model) time.Duration {
	delay := max(p.in.Bounds.LostAfter, loadTime(model))
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.state == suspended && p.reusableMembers(g) == 0 {
			return 2 * delay
		}
	}
	return delay
}

// gracePeriod returns how long the planner waits for a suspended group to recover.
// A group with a flapping member gets only the report bound.
func (p *planner) gracePeriod(g *candidateGroup) time.Duration {
	if g.flapping || g.model == nil {
		return p.in.Bounds.ReportBound
	}
	return max(p.in.Bounds.LostAfter, loadTime(g.model)/gracePeriodDivisor)
}

// preemptionCost returns the cost rate of losing a group. It is zero for a
// suspended group, which does not serve anyway.
func (p *planner) preemptionCost(g *candidateGroup) float64 {
	if g.state == suspended {
		return 0
	}
	return p.costRate(g.model)
}

// reusableMembers returns the number of members of a group that could join another
// group.
func (p *planner) reusableMembers(g *candidateGroup) int {
	count := 0
	for _, vm := range g.Members {
		if p.hasFreshReport(vm) && !p.in.World.VMs[vm].Leaving {
			count++
		}
	}
	return count
}

// planRollouts drains one outdated group of a model when there are not enough
// VMs to load its replacement while it serves.
func (p *planner) planRollouts() {
	for i := range p.in.Config.Models {
		p.planRollout(&p.in.Config.Models[i])
	}
}

func (p *planner) planRollout(model *config.Model) {
	blocked := slices.ContainsFunc(p.unmet, func(n need) bool { return n.model == model && n.covered })
	missing := slices.ContainsFunc(p.unmet, func(n need) bool { return n.model == model && !n.covered })
	if !blocked || missing || p.changeInProgress(model) {
		return
	}
	for _, domain := range p.domains() {
		if len(p.free[domain])+p.pending[domain] >= model.Members {
			return
		}
	}
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.state == serving && g.outdated {
			p.end(g, Outdated)
			return
		}
	}
}

// changeInProgress reports whether a group of the model is loading, draining,
// suspended or about to be formed.
func (p *planner) changeInProgress(model *config.Model) bool {
	return p.count(model, func(g *candidateGroup) bool { return g.state != serving }) > 0 ||
		slices.ContainsFunc(p.plan.Drains, func(d Drain) bool { return p.modelOf(d.Group) == model.Name }) ||
		slices.ContainsFunc(p.plan.Forms, func(f Form) bool { return f.Model == model.Name })
}

func (p *planner) modelOf(fencing fleet.FencingNumber) fleet.ModelName {
	if record, ok := p.in.Fold.groups[fencing]; ok {
		return record.Model
	}
	return ""
}
