package formation

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// closeToComplete closes a group of another model if its members and the free endpoints of a domain make
// a group of a model, and the demand calls for that change. It reports whether it did.
//
// A larger group that has lost members leaves more endpoints than a smaller group needs, and fewer than
// its own. If they formed smaller groups at once, the larger model would lose a group with each loss.
// More than half of the new group is free and serves nobody, so that the change does not wait as those do
// that close sound groups alone.
func (p *planner) closeToComplete(domain string, model *catalog.Model) bool {
	ready := len(p.warm(p.free[domain], model.Name))
	if p.needs == nil || 2*ready <= model.GroupSize || p.evacuated.has(domain) || p.isDissolving(domain) || p.grantsIn(domain) {
		return false
	}
	site := apportion.Domain{Name: domain, Free: ready, FreeFit: map[string]int{model.Name: ready}}
	for _, record := range p.records() {
		if record.Domain == domain && record.Model != model.Name && p.isSound(record) {
			site.Groups = append(site.Groups, p.apportionedGroup(record))
		}
	}
	change, pays := p.evacuation().Next(p.apportionedModels(), []apportion.Domain{site})
	if !pays || change.To != model.Name || len(change.Close) > 1 {
		return false
	}
	p.shift(change)
	return true
}

// grantsIn reports whether the plan contains a new record for a group of a domain.
func (p *planner) grantsIn(domain string) bool {
	return slices.ContainsFunc(p.plan.Grants, func(grant *ledger.Record) bool { return grant.Domain == domain })
}
