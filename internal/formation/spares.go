package formation

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// sparePrefix is the name prefix of the single-member groups in which spare
// endpoints preload a model. Their heads are never opened.
const sparePrefix = "spare."

// spares returns the free endpoints of a domain, sorted by the expected time to
// serve a model.
func (p *planner) spares(domain, model string) []*registry.Endpoint {
	spares := slices.Clone(p.free[domain])
	slices.SortStableFunc(spares, func(a, b *registry.Endpoint) int {
		return cmp.Or(cmp.Compare(p.startupRank(a, model), p.startupRank(b, model)), cmp.Compare(a.ID, b.ID))
	})
	return spares
}

// Startup ranks of an endpoint for a model, the fastest first.
const (
	startupLoaded  = iota // the endpoint has the model loaded
	startupStaged         // the model is staged on its host
	startupLoading        // the endpoint is loading the model
	startupRemote         // the model must be read from the shared weight store
	startupSlow           // the endpoint is slow, whether or not it has the model
)

// startupRank ranks the time until an endpoint can serve a model.
func (p *planner) startupRank(e *registry.Endpoint, model string) int {
	switch {
	case p.slowdown(e) >= replaceSlowdown:
		return startupSlow
	case e.Model == model:
		return startupLoaded
	case e.HasStaged(model):
		return startupStaged
	case e.Model == "" && p.assignedModel(e) == model:
		return startupLoading
	default:
		return startupRemote
	}
}

// warm returns the endpoints that can serve a model without a load from the weight
// store. Before the first request loads are short, so all but slow ones count.
func (p *planner) warm(endpoints []*registry.Endpoint, model string) []*registry.Endpoint {
	var warm []*registry.Endpoint
	for _, e := range endpoints {
		if rank := p.startupRank(e, model); rank <= startupStaged || p.in.BeforeTraffic && rank != startupSlow {
			warm = append(warm, e)
		}
	}
	return warm
}

// removeFree removes an endpoint from the free endpoints.
func (p *planner) removeFree(taken *registry.Endpoint) {
	p.free[taken.Domain] = slices.DeleteFunc(p.free[taken.Domain], func(e *registry.Endpoint) bool { return e.ID == taken.ID })
}

// prepareSpares shortens the startup of the free endpoints of a domain: each one
// preloads the most underprovisioned model of the domain in a single-member group,
// and then stages another model on its host.
func (p *planner) prepareSpares(domain string) {
	for _, e := range p.free[domain] {
		switch {
		case e.Group.State == registry.Joining:
		case p.assignedModel(e) == "":
			p.orderSpare(e, p.scarcestModel(domain))
		case e.Model == "":
			p.orderSpare(e, p.service.Model(p.assignedModel(e)))
		default:
			p.stageOther(e)
		}
	}
}

// stageMembers stages the model with the greatest share among the other models on
// the hosts of a group's members. They can then serve that model quickly if more of
// its groups fail than there are spares, or if this group is dissolved. Models are
// staged only before the first request, while loads are short.
func (p *planner) stageMembers(record *ledger.Record) {
	wanted := p.largestOtherModel(record.Model)
	if !p.in.BeforeTraffic || wanted == nil {
		return
	}
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && !e.HasStaged(wanted.Name) {
			p.plan.Orders = append(p.plan.Orders, Order{To: member, Operation: Stage, Model: wanted.Name, NeedsLoad: true})
		}
	}
}

// largestOtherModel returns the model with the greatest share of the service's
// work except one, nil if there is no other.
func (p *planner) largestOtherModel(except string) *catalog.Model {
	var best *catalog.Model
	for i := range p.service.Models {
		model := &p.service.Models[i]
		if model.Name == except {
			continue
		}
		if best == nil || model.Share > best.Share || model.Share == best.Share && model.GroupSize > best.GroupSize {
			best = model
		}
	}
	return best
}

// assignedModel returns the model that an endpoint has loaded or was ordered to
// load, empty for none.
func (p *planner) assignedModel(e *registry.Endpoint) string {
	if e.Model != "" {
		return e.Model
	}
	preload := p.in.Health.Preloads[e.ID]
	if preload.Incarnation != e.Incarnation || p.service.Model(preload.Model) == nil {
		return ""
	}
	return preload.Model
}

// scarcestModel returns the model with the fewest assigned endpoints per share in
// a domain.
func (p *planner) scarcestModel(domain string) *catalog.Model {
	var best *catalog.Model
	least := 0.0
	for i := range p.service.Models {
		model := &p.service.Models[i]
		perShare := float64(p.assigned[domain][model.Name]) / p.endpointWeight(model)
		if best == nil || perShare < least || perShare == least && model.GroupSize > best.GroupSize {
			best, least = model, perShare
		}
	}
	return best
}

// countAssigned counts the healthy endpoints of each domain by assigned model.
func (p *planner) countAssigned() {
	p.assigned = map[string]map[string]int{}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if !p.healthy(e) {
			continue
		}
		if p.assigned[e.Domain] == nil {
			p.assigned[e.Domain] = map[string]int{}
		}
		p.assigned[e.Domain][p.assignedModel(e)]++
	}
}

func (p *planner) orderSpare(e *registry.Endpoint, model *catalog.Model) {
	if p.ledgerUnopened() {
		p.sparesWait = true
		return
	}
	if p.assignedModel(e) == "" {
		p.assigned[e.Domain][model.Name]++
	}
	p.plan.Orders = append(p.plan.Orders, Order{
		To:          memberOf(e),
		Operation:   Join,
		Group:       sparePrefix + e.ID,
		Epoch:       p.spareEpoch(),
		Model:       model.Name,
		Members:     []string{e.ID},
		NeedsLoad:   !e.HasStaged(model.Name),
		EffectAfter: p.joinDuration(e, model),
	})
}

// spareEpoch returns an epoch below that of any group that is granted later, so that a delayed
// order cannot remove an endpoint from such a group. While the store settles after it has come
// back from an older copy, that holds for groups of earlier eras too: this daemon may not know of
// one that another writes again under its old epoch. An endpoint that has seen a later epoch
// refuses the order meanwhile.
func (p *planner) spareEpoch() uint64 {
	if p.storeSettles() {
		return 0
	}
	return p.in.Groups.EndEpoch() - 1
}

// stageOther stages another model of the service on the host of an endpoint that
// has one loaded.
func (p *planner) stageOther(e *registry.Endpoint) {
	for i := range p.service.Models {
		model := &p.service.Models[i]
		if model.Name == e.Model {
			continue
		}
		if !e.HasStaged(model.Name) {
			p.plan.Orders = append(p.plan.Orders, Order{To: memberOf(e), Operation: Stage, Model: model.Name, NeedsLoad: true})
		}
		return
	}
}
