package formation

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// stageForChange orders endpoints to stage the model that the demand calls for, if a change of groups
// would pay off but for endpoints that must first load the model. Hosts keep few staged models, so that
// after a change or a repair no member may have the other model staged, and groups could never change
// back. The endpoints go on serving while they load. All planners choose the same domain, that with the
// fewest loads, and its planner orders them.
func (p *planner) stageForChange(models []apportion.Model, evacuation apportion.Evacuation) {
	if p.storeSettles() {
		return
	}
	var chosen apportion.Change
	fewest := -1
	for _, domain := range p.apportionedDomains(true) {
		change, pays := evacuation.Next(models, []apportion.Domain{p.afterStaging(domain)})
		if !pays {
			continue
		}
		if loads := len(p.stagingOrders(change)); fewest < 0 || loads < fewest {
			chosen, fewest = change, loads
		}
	}
	if fewest > 0 && p.in.Owns(chosen.Domain) {
		p.staging = p.stagingOrders(chosen)
	}
}

// afterStaging returns a domain as it is once its endpoints have staged whatever model they need. Of
// equal groups, a change closes those with the fewest requests in progress; here that is the negative
// number of members that have another model staged already, so that the choice stays the same while
// they load.
func (p *planner) afterStaging(domain apportion.Domain) apportion.Domain {
	staged := domain
	staged.Groups, staged.FreeFit = nil, map[string]int{}
	for _, group := range domain.Groups {
		members := len(p.stageable(p.in.Groups.Groups[group.Name]))
		able := apportion.Group{Name: group.Name, Model: group.Model, Fit: map[string]int{}}
		for _, model := range p.service.Models {
			able.Fit[model.Name] = members
			if model.Name != group.Model {
				able.InProgress -= group.Fit[model.Name]
			}
		}
		staged.Groups = append(staged.Groups, able)
	}
	for _, model := range p.service.Models {
		staged.FreeFit[model.Name] = len(p.stageableFree(domain.Name, model.Name))
	}
	return staged
}

// stageable returns the members of a group that can serve any model once it is staged.
func (p *planner) stageable(record *ledger.Record) []*registry.Endpoint {
	return p.withoutSlow(p.healthyMembers(record))
}

// stageableFree returns the free endpoints of a domain that can serve a model once it is staged. Those
// without any model are loading one, or are about to.
func (p *planner) stageableFree(domain, model string) []*registry.Endpoint {
	return slices.DeleteFunc(p.withoutSlow(p.spares(domain, model)), func(e *registry.Endpoint) bool { return e.Model == "" })
}

// stagingOrders returns the orders to stage what the new groups of a change need: by members of the
// groups that it closes and, if those are too few, by free endpoints.
func (p *planner) stagingOrders(change apportion.Change) []Order {
	to := p.service.Model(change.To)
	var candidates []*registry.Endpoint
	for _, name := range change.Close {
		candidates = append(candidates, p.stageable(p.in.Groups.Groups[name])...)
	}
	candidates = append(candidates, p.stageableFree(change.Domain, to.Name)...)
	return stagingOrders(candidates[:min(change.Form*to.GroupSize, len(candidates))], to)
}

func stagingOrders(endpoints []*registry.Endpoint, model *catalog.Model) []Order {
	var orders []Order
	for _, e := range endpoints {
		if e.Model != model.Name && !e.HasStaged(model.Name) {
			orders = append(orders, Order{To: memberOf(e), Operation: Stage, Model: model.Name, NeedsLoad: true})
		}
	}
	return orders
}
