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
	// discoveryQuietPeriod is the time without a new endpoint after which a domain
	// counts as fully discovered: several times the interval at which endpoints
	// register during the first start of a deployment.
	discoveryQuietPeriod = 700 * time.Millisecond
	// One endpoint in every endpointsPerSpare of a domain, at most
	// maxReservedSpares, stays free while every model is adequately provisioned:
	// replacing a failed member by a spare takes a fraction of a second.
	endpointsPerSpare = 8
	maxReservedSpares = 2
	// underprovisionedRatio is the fraction of the best provisioned model's
	// endpoints per share below which a model gets a group even if that uses up the
	// reserved spares.
	underprovisionedRatio = 0.8
	// spareUtilisation is the utilisation of a model below which it gets no group from reserved
	// spares while demand is known: it has capacity left, and a failure is repaired sooner.
	spareUtilisation = 0.75
	// preemptionRatio is the minimum ratio between the value of a new group and the
	// value of the group that is dissolved to provide its members.
	preemptionRatio = 1.5
	// minShare replaces a share that is not configured.
	minShare = 1e-3
)

// createGroups creates groups from the free endpoints of a domain, in ascending
// order of the models' endpoints per configured share. If there are too few free
// endpoints, a group of lower value may be dissolved to provide the rest.
func (p *planner) createGroups(domain string) {
	if !p.fullyDiscovered(domain) {
		p.plan.Converging = true
		return
	}
	for p.createNextGroup(domain) {
	}
}

func (p *planner) createNextGroup(domain string) bool {
	for _, model := range p.modelsByProvisioning() {
		if model.GroupSize <= 0 {
			continue
		}
		ready := p.eligibleEndpoints(domain, model)
		switch {
		case len(ready) < model.GroupSize:
			if p.awaitsDissolution(domain, model, len(ready)) || p.preemptGroup(domain, model, len(ready)) || p.closeToComplete(domain, model) {
				return false // the free endpoints stay reserved for this model
			}
		case !p.mayUseSpares(domain, model):
		default:
			p.createGroup(domain, model, ready[:model.GroupSize])
			return true
		}
	}
	return false
}

// mayUseSpares reports whether a new group of a model leaves the domain its
// reserved spares, or the model is underprovisioned enough to use them.
func (p *planner) mayUseSpares(domain string, model *catalog.Model) bool {
	if len(p.free[domain])-model.GroupSize >= p.reservedSpares(domain) {
		return true
	}
	if p.needs != nil && p.groupValue(model, 0) < spareUtilisation {
		return false
	}
	most := 0.0
	for i := range p.service.Models {
		most = max(most, p.provisioning(&p.service.Models[i]))
	}
	return p.provisioning(model) < underprovisionedRatio*most || most == 0
}

func (p *planner) reservedSpares(domain string) int {
	endpoints := 0
	for _, count := range p.assigned[domain] {
		endpoints += count
	}
	return min((endpoints+endpointsPerSpare-1)/endpointsPerSpare, maxReservedSpares)
}

// eligibleEndpoints returns the free endpoints of a domain that may join a new
// group of a model: those that can serve it without a load from the weight store
// and, once traffic has begun and those are too few, also those whose assigned
// model cannot form a group in the domain.
func (p *planner) eligibleEndpoints(domain string, model *catalog.Model) []*registry.Endpoint {
	spares := p.spares(domain, model.Name)
	ready := p.warm(spares, model.Name)
	if p.in.BeforeTraffic || len(ready) >= model.GroupSize {
		return ready
	}
	for _, e := range spares {
		if !slices.Contains(ready, e) && !p.assignedModelFits(domain, e) {
			ready = append(ready, e)
		}
	}
	return ready
}

// assignedModelFits reports whether the domain has enough endpoints for a group of
// the model that is assigned to an endpoint.
func (p *planner) assignedModelFits(domain string, e *registry.Endpoint) bool {
	model := p.service.Model(p.assignedModel(e))
	if model == nil {
		return false
	}
	sum := 0
	for _, count := range p.assigned[domain] {
		sum += count
	}
	return sum >= model.GroupSize
}

func (p *planner) createGroup(domain string, model *catalog.Model, endpoints []*registry.Endpoint) {
	var members []ledger.Member
	for _, e := range endpoints {
		members = append(members, memberOf(e))
		p.removeFree(e)
	}
	p.addGroups(domain, model.Name, 1)
	p.plan.Converging = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: p.newGroupName(domain), Service: p.service.Name, Model: model.Name, Domain: domain, Members: members,
	})
}

// awaitsDissolution reports whether a group of the domain is being dissolved whose
// members, with the ready free endpoints, suffice for a group of a model.
func (p *planner) awaitsDissolution(domain string, model *catalog.Model, ready int) bool {
	for _, record := range p.records() {
		if record.Domain == domain && record.Dissolving && record.Model != model.Name && ready+p.warmMembers(record, model.Name) >= model.GroupSize {
			return true
		}
	}
	return false
}

// preemptGroup dissolves a group of the domain that has a lower value than a new
// group of a model, if its members can serve that model without a load from the
// weight store and, with the ready free endpoints, suffice for the new group. It
// reports whether it dissolved a group.
func (p *planner) preemptGroup(domain string, model *catalog.Model, ready int) bool {
	if p.isDissolving(domain) || p.needs != nil && p.counts.all[model.Name] > 0 {
		return false // with known demand, only a model without any group may take one of another at once
	}
	for _, record := range p.records() {
		if record.Domain != domain || record.Model == model.Name || p.hasGrant(record.Group) {
			continue
		}
		victim := p.service.Model(record.Model)
		if victim == nil || p.needs != nil && p.groupCounts[victim.Name] < 2 || p.groupValue(model, 1) < preemptionRatio*p.groupValue(victim, 0) {
			continue
		}
		if ready+p.warmMembers(record, model.Name) >= model.GroupSize {
			p.dissolve(record)
			return true
		}
	}
	return false
}

// isDissolving reports whether a group of a domain is already being dissolved.
func (p *planner) isDissolving(domain string) bool {
	matches := func(record *ledger.Record) bool { return record.Domain == domain && record.Dissolving }
	return slices.ContainsFunc(p.records(), matches) || slices.ContainsFunc(p.plan.Grants, matches)
}

func (p *planner) warmMembers(record *ledger.Record, model string) int {
	return len(p.warm(p.healthyMembers(record), model))
}

func (p *planner) healthyMembers(record *ledger.Record) []*registry.Endpoint {
	var members []*registry.Endpoint
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.healthy(e) && e.Incarnation == member.Incarnation {
			members = append(members, e)
		}
	}
	return members
}

// groupValue returns the share of the work that each group of a model would carry
// if the model had some more groups. With known demand it is the utilisation.
func (p *planner) groupValue(model *catalog.Model, more int) float64 {
	return p.groupWeight(model) / float64(max(p.groupCounts[model.Name]+more, 1))
}

// fullyDiscovered reports whether all endpoints of a domain have probably
// registered. At the first start of a deployment they register one after the
// other, and a group of the first few could block a group that serves more.
func (p *planner) fullyDiscovered(domain string) bool {
	if !p.in.BeforeTraffic {
		return true
	}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if e.Domain == domain && p.in.Now.Sub(e.FirstSeen) < discoveryQuietPeriod {
			return false
		}
	}
	return true
}

// modelsByProvisioning returns the models in ascending order of endpoints per
// share, larger group sizes first among equals. With known demand, those that would be
// left after the loss of one group of each model count.
func (p *planner) modelsByProvisioning() []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.service.Models))
	for i := range p.service.Models {
		models = append(models, &p.service.Models[i])
	}
	left := func(model *catalog.Model) float64 {
		groups := float64(p.groupCounts[model.Name])
		if p.needs != nil {
			groups = p.evacuation().GroupsLeft(groups)
		}
		return p.endpointsPerWeight(model, groups)
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int {
		return cmp.Or(cmp.Compare(left(a), left(b)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	return models
}

// provisioning returns the number of endpoints in a model's groups divided by the
// model's weight.
func (p *planner) provisioning(model *catalog.Model) float64 {
	return p.endpointsPerWeight(model, float64(p.groupCounts[model.Name]))
}

func (p *planner) endpointsPerWeight(model *catalog.Model, groups float64) float64 {
	return groups * float64(model.GroupSize) / p.endpointWeight(model)
}

// newGroupName returns a group name that is unused in the ledger and the plan.
func (p *planner) newGroupName(domain string) string {
	for number := 0; ; number++ {
		name := fmt.Sprintf("%s.%d", domain, number)
		if p.in.Groups.Groups[name] == nil && !p.hasGrant(name) {
			return name
		}
	}
}

// hasGrant reports whether the plan contains a new record for a group.
func (p *planner) hasGrant(name string) bool {
	return slices.ContainsFunc(p.plan.Grants, func(grant *ledger.Record) bool { return grant.Group == name })
}
