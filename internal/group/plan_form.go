package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// planForms forms the missing groups on free VMs, in descending order of cost
// rate. planRepairs preempts by the same measure, so that VMs go to the group
// that they were freed for. The number of VMs that load concurrently is limited
// to what the weight store can serve, so that the first loads finish early
// instead of all finishing late.
func (p *planner) planForms() {
	p.findFree()
	p.countLoading()
	for _, n := range p.needs() {
		if !p.canStartLoad(n.model) {
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
		if !g.ended && g.state == loading {
			p.loadingVMs += len(g.Members)
		}
	}
}

// canStartLoad reports whether another group may load within the limit of
// concurrently loading VMs. A single group may always load.
func (p *planner) canStartLoad(model *config.Model) bool {
	limit := p.in.Config.Policy.LoadingVMs
	return limit == 0 || p.loadingVMs == 0 || p.loadingVMs+model.Members <= limit
}

// needs returns the missing groups, most urgent first.
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
	missing := model.ReplicasIn(p.in.DataCentre) - p.count(model, p.countsAsReplica)
	covered := p.count(model, func(g *candidateGroup) bool { return g.state == serving && g.replaceable() })
	age := since(p.in.History.shortSince, model.Name, p.in.Now)
	var needs []need
	for i := range missing {
		needs = append(needs, need{model: model, covered: i >= missing-covered, age: age})
	}
	return needs
}

// countsAsReplica reports whether a group needs no replacement: it serves, is
// loading, or was suspended only briefly.
func (p *planner) countsAsReplica(g *candidateGroup) bool {
	if g.outdated || g.flapping && g.state != loading {
		return false
	}
	return g.state == serving || g.state == loading || p.brieflySuspended(g)
}

// brieflySuspended reports whether a group is suspended although the reports of
// all its members are within the report bound.
func (p *planner) brieflySuspended(g *candidateGroup) bool {
	return g.state == suspended && g.reportAge <= p.in.Bounds.ReportBound
}

// pickMembers takes the members from one fabric domain. It prefers the domain
// with the fewest flapping VMs among the members, then the one with the fewest
// that await replacement, then the one with the fewest groups of the model, and
// then the one with the most free VMs.
func (p *planner) pickMembers(n need) (Form, bool) {
	best := fleet.FabricDomain("")
	for _, domain := range sortedDomains(p.free) {
		if p.canHost(domain, n) && (best == "" || p.compareDomains(domain, best, n.model) < 0) {
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

// canHost reports whether the free VMs of a domain may form the group now.
func (p *planner) canHost(domain fleet.FabricDomain, n need) bool {
	vms := p.free[domain]
	if len(vms) < n.model.Members {
		return false
	}
	flapping := p.countFlapping(vms[:n.model.Members])
	return flapping == 0 || !n.covered && !p.stableSoon(domain, flapping, n)
}

// stableSoon reports whether enough stable VMs to replace the flapping ones are
// leaving their released groups. The planner waits for them no longer than
// LostAfter.
func (p *planner) stableSoon(domain fleet.FabricDomain, flapping int, n need) bool {
	return n.age <= p.in.Bounds.LostAfter && p.pendingStable[domain] >= flapping
}

func (p *planner) compareDomains(a, b fleet.FabricDomain, model *config.Model) int {
	return cmp.Or(
		cmp.Compare(p.countFlapping(p.free[a][:model.Members]), p.countFlapping(p.free[b][:model.Members])),
		cmp.Compare(p.awaitingReplacement(p.free[a][:model.Members]), p.awaitingReplacement(p.free[b][:model.Members])),
		cmp.Compare(p.groupsIn(a, model), p.groupsIn(b, model)),
		cmp.Compare(len(p.free[b]), len(p.free[a])),
	)
}

func (p *planner) countFlapping(vms []fleet.VMID) int {
	count := 0
	for _, vm := range vms {
		if p.flapping(vm) {
			count++
		}
	}
	return count
}

// awaitingReplacement counts the VMs that a rolling replacement may not have
// reached yet: while any VM is leaving, those that have not rebooted.
func (p *planner) awaitingReplacement(vms []fleet.VMID) int {
	if !p.rollingReplacement {
		return 0
	}
	count := 0
	for _, vm := range vms {
		if o := p.in.History.outages[vm]; o == nil || !o.rebooted {
			count++
		}
	}
	return count
}

// groupsIn returns the number of groups of a model in a domain, including those
// formed by this plan and excluding suspended ones.
func (p *planner) groupsIn(domain fleet.FabricDomain, model *config.Model) int {
	count := p.count(model, func(g *candidateGroup) bool { return g.FabricDomain == domain && g.state != suspended })
	for _, form := range p.plan.Forms {
		if form.Model == model.Name && form.FabricDomain == domain {
			count++
		}
	}
	return count
}

func (p *planner) makeForm(model *config.Model, domain fleet.FabricDomain, members []fleet.VMID) Form {
	form := Form{
		Model:            model.Name,
		Version:          model.Version,
		Adapters:         model.Adapters,
		DataCentre:       p.in.DataCentre,
		FabricDomain:     domain,
		Members:          members,
		ReuseDelayMillis: p.reuseDelay(model).Milliseconds(),
	}
	for _, vm := range members {
		form.Addresses = append(form.Addresses, p.in.World.VMs[vm].Address)
		form.Fences = append(form.Fences, p.in.Fold.VM(vm).Fence)
	}
	return form
}

// reuseDelay returns how long a released VM must not be reused: the longest life
// of a control order, or zero if the engine checks fencing numbers and so
// rejects late orders itself.
func (p *planner) reuseDelay(model *config.Model) time.Duration {
	if model.ChecksFencing {
		return 0
	}
	return p.in.Bounds.OrderLife
}
