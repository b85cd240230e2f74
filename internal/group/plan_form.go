package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// planForms forms the missing groups on free VMs, those that cost most first:
// by the measure that planRepairs takes groups apart by, so that the VMs go to
// the group that they were freed for. It starts no more loads at once than the weight store
// takes, so that the first ones end early instead of all late.
func (p *planner) planForms() {
	p.findFree()
	p.countLoading()
	for _, n := range p.needs() {
		if !p.mayLoad(n.model) {
			continue
		}
		form, ok := p.pickMembers(n)
		if !ok {
			p.unmet = append(p.unmet, n)
			continue
		}
		p.loadingVMs += len(form.Members)
		p.plan.Forms = append(p.plan.Forms, form)
	}
}

func (p *planner) countLoading() {
	for _, g := range p.groups {
		if !g.ended && g.standing == loading {
			p.loadingVMs += len(g.Members)
		}
	}
}

// mayLoad reports whether the weight store has room for another group. One
// group may always load.
func (p *planner) mayLoad(model *config.Model) bool {
	limit := p.in.Config.Policy.LoadingVMs
	return limit == 0 || p.loadingVMs == 0 || p.loadingVMs+model.Members <= limit
}

// needs returns the missing groups, the most urgent first.
func (p *planner) needs() []need {
	var needs []need
	for i := range p.in.Config.Models {
		needs = append(needs, p.needsOf(&p.in.Config.Models[i])...)
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(compareBool(a.covered, b.covered), cmp.Compare(p.costRate(b.model), p.costRate(a.model)))
	})
	return needs
}

func (p *planner) needsOf(model *config.Model) []need {
	missing := model.ReplicasIn(p.in.DataCentre) - p.count(model, p.secured)
	covered := p.count(model, func(g *candidateGroup) bool { return g.standing == serving && g.replaceable() })
	age := since(p.in.History.short, model.Name, p.in.Now)
	var needs []need
	for i := range missing {
		needs = append(needs, need{model: model, covered: i >= missing-covered, age: age})
	}
	return needs
}

// secured reports whether a group serves, will serve, or has only missed a
// report.
func (p *planner) secured(g *candidateGroup) bool {
	if g.outdated || g.unsteady && g.standing != loading {
		return false
	}
	return g.standing == serving || g.standing == loading || p.blinks(g)
}

func (p *planner) blinks(g *candidateGroup) bool {
	return g.standing == suspended && g.silence <= p.in.Bounds.ReportBound
}

// pickMembers takes the members from one fabric domain: where steady VMs
// suffice, then where a rolling replacement has been, then where the model has
// the fewest groups, then where most are free.
func (p *planner) pickMembers(n need) (Form, bool) {
	best := fleet.FabricDomain("")
	for _, domain := range sortedDomains(p.free) {
		if p.suits(domain, n) && (best == "" || p.compareDomains(domain, best, n.model) < 0) {
			best = domain
		}
	}
	if best == "" {
		return Form{}, false
	}
	members := p.free[best][:n.model.Members]
	p.free[best] = p.free[best][n.model.Members:]
	return p.makeForm(n.model, best, members), true
}

func (p *planner) suits(domain fleet.FabricDomain, n need) bool {
	vms := p.free[domain]
	if len(vms) < n.model.Members {
		return false
	}
	unsteady := p.unsteadyIn(vms[:n.model.Members])
	return unsteady == 0 || !n.covered && !p.steadySoon(domain, unsteady, n)
}

// steadySoon reports whether steady VMs that could stand in for unsteady ones
// are about to let go of their former group. They are waited for no longer than
// a member is before it is lost.
func (p *planner) steadySoon(domain fleet.FabricDomain, unsteady int, n need) bool {
	return n.age <= p.in.Bounds.LostAfter && p.pendingSteady[domain] >= unsteady
}

func (p *planner) compareDomains(a, b fleet.FabricDomain, model *config.Model) int {
	return cmp.Or(
		cmp.Compare(p.unsteadyIn(p.free[a][:model.Members]), p.unsteadyIn(p.free[b][:model.Members])),
		cmp.Compare(p.toBeReplaced(p.free[a][:model.Members]), p.toBeReplaced(p.free[b][:model.Members])),
		cmp.Compare(p.groupsIn(a, model), p.groupsIn(b, model)),
		cmp.Compare(len(p.free[b]), len(p.free[a])),
	)
}

func (p *planner) unsteadyIn(vms []fleet.VMID) int {
	count := 0
	for _, vm := range vms {
		if p.unsteady(vm) {
			count++
		}
	}
	return count
}

// toBeReplaced counts the VMs that a rolling replacement may yet reach: while
// some VM is leaving, those that have not started anew.
func (p *planner) toBeReplaced(vms []fleet.VMID) int {
	if !p.rolling {
		return 0
	}
	count := 0
	for _, vm := range vms {
		if o := p.in.History.outages[vm]; o == nil || !o.renewed {
			count++
		}
	}
	return count
}

// groupsIn returns how many groups of a model a domain holds, planned ones
// included.
func (p *planner) groupsIn(domain fleet.FabricDomain, model *config.Model) int {
	count := p.count(model, func(g *candidateGroup) bool { return g.FabricDomain == domain && g.standing != suspended })
	for _, form := range p.plan.Forms {
		if form.Model == model.Name && form.FabricDomain == domain {
			count++
		}
	}
	return count
}

func (p *planner) makeForm(model *config.Model, domain fleet.FabricDomain, members []fleet.VMID) Form {
	form := Form{
		Model:        model.Name,
		Version:      model.Version,
		Adapters:     model.Adapters,
		DataCentre:   p.in.DataCentre,
		FabricDomain: domain,
		Members:      members,
		RestMillis:   p.rest(model).Milliseconds(),
	}
	for _, vm := range members {
		form.Addresses = append(form.Addresses, p.in.World.VMs[vm].Address)
		form.Fences = append(form.Fences, p.in.Fold.VM(vm).Fence)
	}
	return form
}

// rest is how long a released VM stays unused: an engine that checks fencing
// numbers refuses late orders by itself.
func (p *planner) rest(model *config.Model) time.Duration {
	if model.ChecksFencing {
		return 0
	}
	return p.in.Bounds.OrderLife
}
