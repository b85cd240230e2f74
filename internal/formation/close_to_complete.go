package formation

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// closeToComplete closes a group of another model if its members and the free endpoints of a domain make
// a group of a model, and the demand calls for that change. A larger group makes way only if the model
// is too busy to give up a group itself. It reports whether it did.
//
// A larger group that has lost members leaves more endpoints than a smaller group needs, and fewer than
// its own. If they formed smaller groups at once, the larger model would lose a group with each loss.
// More than half of the new group is free and serves nobody, so that the change does not wait as those do
// that close sound groups alone. The reserved spares stay free, and nothing is closed while a data centre
// is evacuated or a restored store settles: other rules hold for changes then.
func (p *planner) closeToComplete(domain string, model *catalog.Model) bool {
	ready := len(p.warm(p.free[domain], model.Name))
	switch {
	case p.needs == nil, 2*ready <= model.GroupSize:
		return false
	case p.evacuation().InForce, p.storeSettles(), p.isDissolving(domain), p.grantsIn(domain):
		return false
	}
	candidates := apportion.Domain{Name: domain, Free: ready, FreeFit: map[string]int{model.Name: ready}, Reserved: min(p.reservedSpares(domain), ready)}
	for _, record := range p.records() {
		if record.Domain == domain && record.Model != model.Name && p.isSound(record) {
			candidates.Groups = append(candidates.Groups, p.apportionedGroup(record))
		}
	}
	change, pays := p.evacuation().Next(p.apportionedModels(), []apportion.Domain{candidates})
	if !pays || change.To != model.Name || len(change.Close) != 1 || change.Form > 1 && !change.ToBusy() {
		return false
	}
	p.shift(change)
	return true
}

// grantsIn reports whether the plan contains a new record for a group of a domain.
func (p *planner) grantsIn(domain string) bool {
	return slices.ContainsFunc(p.plan.Grants, func(grant *ledger.Record) bool { return grant.Domain == domain })
}
