package formation

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// sparePrefix begins the names of the groups of one that keep spare endpoints
// loaded. Their heads are never opened.
const sparePrefix = "spare."

// spares returns the free endpoints of a domain, those first that can serve a
// model soonest.
func (p *planner) spares(domain, model string) []*registry.Endpoint {
	spares := slices.Clone(p.free[domain])
	slices.SortStableFunc(spares, func(a, b *registry.Endpoint) int {
		return cmp.Or(cmp.Compare(p.effort(a, model), p.effort(b, model)), cmp.Compare(a.ID, b.ID))
	})
	return spares
}

// Ranks of what it takes to make an endpoint ready for a model.
const (
	effortHot     = iota // it has the model at hand
	effortStaged         // the model lies on its host
	effortLoading        // it is loading the model already
	effortCold           // the model must come from the shared store of weights
	effortSlow           // the endpoint is slow, whatever it holds
)

// effort ranks how long an endpoint takes to be ready for a model.
func (p *planner) effort(e *registry.Endpoint, model string) int {
	switch {
	case p.slowness(e) >= tooSlow:
		return effortSlow
	case e.Model == model:
		return effortHot
	case e.Holds(model):
		return effortStaged
	case e.Model == "" && p.atHand(e) == model:
		return effortLoading
	default:
		return effortCold
	}
}

// warm returns the endpoints that are ready for a model without a load. Before
// the first request loads are short, so that all are.
func (p *planner) warm(endpoints []*registry.Endpoint, model string) []*registry.Endpoint {
	var warm []*registry.Endpoint
	for _, e := range endpoints {
		if effort := p.effort(e, model); effort <= effortStaged || p.in.Quiet && effort != effortSlow {
			warm = append(warm, e)
		}
	}
	return warm
}

// take removes an endpoint from the free ones.
func (p *planner) take(taken *registry.Endpoint) {
	p.free[taken.Domain] = slices.DeleteFunc(p.free[taken.Domain], func(e *registry.Endpoint) bool { return e.ID == taken.ID })
}

// prepareSpares orders what makes the free endpoints of a domain quick to
// serve: each joins a group of its own with the model that its domain would miss
// first, so that this model is at hand, and puts another one on its host.
func (p *planner) prepareSpares(domain string) {
	for _, e := range p.free[domain] {
		switch {
		case e.Group.State == registry.Joining:
		case p.atHand(e) == "":
			p.orderSpare(e, p.missedFirst(domain))
		case e.Model == "":
			p.orderSpare(e, p.service.Model(p.atHand(e)))
		default:
			p.stageOther(e)
		}
	}
}

// stageMembers puts another model on the hosts of a group's members, the one with
// the greatest share: when more groups of that model fail than there are spares, or
// this group is taken apart, they serve it soon. Their own model they have at hand.
// It is worth its loads only while they are short.
func (p *planner) stageMembers(record *ledger.Record) {
	wanted := p.greatestBut(record.Model)
	if !p.in.Quiet || wanted == nil {
		return
	}
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && !e.Holds(wanted.Name) {
			p.plan.Orders = append(p.plan.Orders, Order{To: member, Operation: Stage, Model: wanted.Name, Loads: true})
		}
	}
}

// greatestBut returns the model with the greatest share of the service's work, one
// aside. It is nil if there is no other.
func (p *planner) greatestBut(but string) *catalog.Model {
	var best *catalog.Model
	for i := range p.service.Models {
		model := &p.service.Models[i]
		if model.Name == but {
			continue
		}
		if best == nil || model.Share > best.Share || model.Share == best.Share && model.Size > best.Size {
			best = model
		}
	}
	return best
}

// atHand returns the model that an endpoint has loaded, or was told to load.
func (p *planner) atHand(e *registry.Endpoint) string {
	if e.Model != "" {
		return e.Model
	}
	promise := p.in.Health.Promised[e.ID]
	if promise.Born != e.Born || p.service.Model(promise.Model) == nil {
		return ""
	}
	return promise.Model
}

// missedFirst returns the model of which a domain has the fewest endpoints
// for its share.
func (p *planner) missedFirst(domain string) *catalog.Model {
	var best *catalog.Model
	least := 0.0
	for i := range p.service.Models {
		model := &p.service.Models[i]
		held := float64(p.handy[domain][model.Name]) / max(model.Share, minShare)
		if best == nil || held < least || held == least && model.Size > best.Size {
			best, least = model, held
		}
	}
	return best
}

// countHandy counts the endpoints of each domain by the model at hand.
func (p *planner) countHandy() {
	p.handy = map[string]map[string]int{}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if !p.sound(e) {
			continue
		}
		if p.handy[e.Domain] == nil {
			p.handy[e.Domain] = map[string]int{}
		}
		p.handy[e.Domain][p.atHand(e)]++
	}
}

func (p *planner) orderSpare(e *registry.Endpoint, model *catalog.Model) {
	if p.atHand(e) == "" {
		p.handy[e.Domain][model.Name]++
	}
	p.plan.Orders = append(p.plan.Orders, Order{
		To:        memberOf(e),
		Operation: Join,
		Group:     sparePrefix + e.ID,
		Epoch:     p.spareEpoch(),
		Model:     model.Name,
		Members:   []string{e.ID},
		Loads:     !e.Holds(model.Name),
	})
}

// spareEpoch is below the epoch of any group that is granted later, so that an
// order that is carried out late cannot take an endpoint out of such a group.
func (p *planner) spareEpoch() uint64 {
	if p.in.Groups.End == 0 {
		return 0
	}
	return p.in.Groups.End - 1
}

// stageOther puts another model of the service on the host of an endpoint that
// has one at hand already.
func (p *planner) stageOther(e *registry.Endpoint) {
	for i := range p.service.Models {
		model := &p.service.Models[i]
		if model.Name == e.Model {
			continue
		}
		if !e.Holds(model.Name) {
			p.plan.Orders = append(p.plan.Orders, Order{To: memberOf(e), Operation: Stage, Model: model.Name, Loads: true})
		}
		return
	}
}
