package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

const (
	// appearGap is the time without a new endpoint after which a domain counts as
	// complete: several times the gap between two that appear at a first start.
	appearGap = 700 * time.Millisecond
	// A domain keeps one free endpoint of so many, and no more than maxReserve,
	// while its models have their share: they repair a group in a fraction of a
	// second.
	endpointsPerSpare = 8
	maxReserve        = 2
	// muchMissed is the part of the best supplied model's endpoints for its share
	// below which a model gets a group even at the cost of the reserve.
	muchMissed = 0.8
	// worthTaking is how much more a group must be worth than the one that is taken
	// apart for it.
	worthTaking = 1.5
	// minShare stands for a share that is not given.
	minShare = 1e-3
)

// fill forms groups of the free endpoints of a domain, the model first whose
// endpoints fall furthest below its configured share. If only the members of a
// group that is worth less could make up the number, that group is taken apart.
func (p *planner) fill(domain string) {
	if !p.complete(domain) {
		p.plan.Unsettled = true
		return
	}
	for p.formNext(domain) {
	}
}

func (p *planner) formNext(domain string) bool {
	for _, model := range p.missedMost() {
		if model.Size <= 0 {
			continue
		}
		ready := p.formable(domain, model)
		switch {
		case len(ready) < model.Size:
			if p.awaits(domain, model, len(ready)) || p.takeForth(domain, model, len(ready)) {
				return false // the free endpoints are kept for this model
			}
		case !p.leavesReserve(domain, model):
		default:
			p.form(domain, model, ready[:model.Size])
			return true
		}
	}
	return false
}

// leavesReserve reports whether a group of a model leaves the domain its reserve, or
// is worth more than that.
func (p *planner) leavesReserve(domain string, model *catalog.Model) bool {
	if len(p.free[domain])-model.Size >= p.reserve(domain) {
		return true
	}
	most := 0.0
	for i := range p.service.Models {
		most = max(most, p.supply(&p.service.Models[i]))
	}
	return p.supply(model) < muchMissed*most || most == 0
}

func (p *planner) reserve(domain string) int {
	endpoints := 0
	for _, count := range p.handy[domain] {
		endpoints += count
	}
	return min((endpoints+endpointsPerSpare-1)/endpointsPerSpare, maxReserve)
}

// formable returns the free endpoints of a domain that may form a group of a
// model: those that are ready soon, and those whose own model can form none there.
func (p *planner) formable(domain string, model *catalog.Model) []*registry.Endpoint {
	spares := p.spares(domain, model.Name)
	ready := p.warm(spares, model.Name)
	if p.in.Quiet || len(ready) >= model.Size {
		return ready
	}
	for _, e := range spares {
		if !slices.Contains(ready, e) && !p.hasUse(domain, e) {
			ready = append(ready, e)
		}
	}
	return ready
}

// hasUse reports whether the model that an endpoint has at hand can be served by
// the endpoints of its domain.
func (p *planner) hasUse(domain string, e *registry.Endpoint) bool {
	model := p.service.Model(p.atHand(e))
	if model == nil {
		return false
	}
	sum := 0
	for _, count := range p.handy[domain] {
		sum += count
	}
	return sum >= model.Size
}

func (p *planner) form(domain string, model *catalog.Model, endpoints []*registry.Endpoint) {
	var members []ledger.Member
	for _, e := range endpoints {
		members = append(members, memberOf(e))
		p.take(e)
	}
	p.counts[model.Name]++
	p.plan.Unsettled = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: p.newName(domain), Service: p.service.Name, Model: model.Name, Domain: domain, Members: members,
	})
}

// awaits reports whether a group of the domain is being taken apart whose members
// make up the number for a group of a model.
func (p *planner) awaits(domain string, model *catalog.Model, ready int) bool {
	for _, record := range p.records() {
		if record.Domain == domain && record.Ending && record.Model != model.Name && ready+p.warmMembers(record, model.Name) >= model.Size {
			return true
		}
	}
	return false
}

// takeForth takes a group of the domain apart that is worth less than one of a
// model, if its members are ready for that model soon and make up the number. It
// reports whether it did.
func (p *planner) takeForth(domain string, model *catalog.Model, ready int) bool {
	if p.ends(domain) {
		return false
	}
	for _, record := range p.records() {
		if record.Domain != domain || record.Model == model.Name || p.grants(record.Group) {
			continue
		}
		victim := p.service.Model(record.Model)
		if victim == nil || p.worth(model, 1) < worthTaking*p.worth(victim, 0) {
			continue
		}
		if ready+p.warmMembers(record, model.Name) >= model.Size {
			p.takeApart(record)
			return true
		}
	}
	return false
}

// ends reports whether a group of a domain is being taken apart already.
func (p *planner) ends(domain string) bool {
	isEnding := func(record *ledger.Record) bool { return record.Domain == domain && record.Ending }
	return slices.ContainsFunc(p.records(), isEnding) || slices.ContainsFunc(p.plan.Grants, isEnding)
}

func (p *planner) warmMembers(record *ledger.Record, model string) int {
	var members []*registry.Endpoint
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.sound(e) && e.Born == member.Born {
			members = append(members, e)
		}
	}
	return len(p.warm(members, model))
}

// worth is the share of the work that each group of a model carries, with some
// more groups.
func (p *planner) worth(model *catalog.Model, more int) float64 {
	return model.Share / float64(max(p.counts[model.Name]+more, 1))
}

// complete reports whether all endpoints of a domain have likely appeared. At the
// first start of a fleet they do so one after the other, and a group of those
// that came first would take the place of one that serves more.
func (p *planner) complete(domain string) bool {
	if !p.in.Quiet {
		return true
	}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if e.Domain == domain && p.in.Now.Sub(e.Appeared) < appearGap {
			return false
		}
	}
	return true
}

// missedMost returns the models, that first whose endpoints fall furthest below
// its share.
func (p *planner) missedMost() []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.service.Models))
	for i := range p.service.Models {
		models = append(models, &p.service.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int {
		return cmp.Or(cmp.Compare(p.supply(a), p.supply(b)), cmp.Compare(b.Size, a.Size))
	})
	return models
}

// supply returns the endpoints of a model's groups over its share.
func (p *planner) supply(model *catalog.Model) float64 {
	return float64(p.counts[model.Name]*model.Size) / max(model.Share, minShare)
}

// newName returns a name that no group has, in the ledger or in the plan.
func (p *planner) newName(domain string) string {
	for number := 0; ; number++ {
		name := fmt.Sprintf("%s.%d", domain, number)
		if p.in.Groups.Groups[name] == nil && !p.grants(name) {
			return name
		}
	}
}

// grants reports whether the plan has a new record of a group.
func (p *planner) grants(name string) bool {
	return slices.ContainsFunc(p.plan.Grants, func(grant *ledger.Record) bool { return grant.Group == name })
}
