package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// MakePlan returns the next changes to the groups of the owned domains: it
// replaces failed members by the spare endpoints that can serve soonest, creates
// groups of the most underprovisioned models from free endpoints, and preloads
// models on the remaining spares.
func MakePlan(in Input) Plan {
	p := &planner{in: in}
	for _, name := range slices.Sorted(maps.Keys(in.Catalog.Services)) {
		if service := in.Catalog.Services[name]; service.Grouped() {
			p.planService(service)
		}
	}
	p.openLedger()
	return p.plan
}

type planner struct {
	in          Input
	plan        Plan
	service     *catalog.Service
	free        map[string][]*registry.Endpoint // by domain
	groupCounts map[string]int                  // number of groups by model that count for the domain that is planned
	counts      countedGroups
	evacuated   evacuatedDomains
	demand      map[string]demand.Total   // for each model, by which the groups are planned; nil: not known
	needs       map[string]float64        // number of groups that the demand fills, by model; nil: not known
	staging     []Order                   // that prepare a change of groups
	sparesWait  bool                      // for the ledger to be opened
	assigned    map[string]map[string]int // number of healthy endpoints by domain and assigned model
}

func (p *planner) planService(service *catalog.Service) {
	p.service = service
	p.findFree()
	p.findEvacuated()
	p.countGroups()
	p.countAssigned()
	p.updateNeeds()
	for _, record := range p.records() {
		if p.in.Owns(record.Domain) {
			p.reconcileGroup(record)
		}
	}
	p.dropResurrected()
	p.staging = nil
	p.followDemand()
	for _, domain := range slices.Sorted(maps.Keys(p.free)) {
		if p.in.Owns(domain) {
			p.groupCounts = p.countsFor(domain)
			p.createGroups(domain)
			p.prepareSpares(domain)
		}
	}
	p.plan.Orders = append(p.plan.Orders, p.staging...) // spares that repairs need load first
}

// records returns the group records of the service, sorted by group name.
func (p *planner) records() []*ledger.Record {
	var records []*ledger.Record
	for _, record := range p.in.Groups.Groups {
		if record.Service == p.service.Name {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *ledger.Record) int { return cmp.Compare(a.Group, b.Group) })
	return records
}

func (p *planner) findFree() {
	granted := map[string]bool{}
	for _, record := range p.in.Groups.Groups {
		for _, member := range record.Members {
			granted[member.ID] = true
		}
	}
	p.free = map[string][]*registry.Endpoint{}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if !granted[e.ID] && p.healthy(e) && e.Domain != "" && !p.orphaned(e) {
			p.free[e.Domain] = append(p.free[e.Domain], e)
		}
	}
}

// healthy reports whether an endpoint may become a group member.
func (p *planner) healthy(e *registry.Endpoint) bool {
	return e.Usable() && !e.Lapsed() && !p.dead(e)
}

func (p *planner) dead(e *registry.Endpoint) bool {
	incarnation, dead := p.in.Health.Dead[e.ID]
	return dead && incarnation == e.Incarnation
}

func (p *planner) countGroups() {
	p.counts = countedGroups{all: map[string]int{}, usable: map[string]int{}}
	for _, record := range p.records() {
		if !record.Dissolving && !p.allAbsent(record) {
			p.addGroups(record.Domain, record.Model, 1)
		}
	}
	p.groupCounts = p.counts.usable
}

// reconcileGroup orders the next step that a group needs to match its record, or
// plans a new record for it.
func (p *planner) reconcileGroup(record *ledger.Record) {
	if p.rewriteForgotten(record) {
		return
	}
	if record.Dissolving {
		p.finishDissolution(record)
		return
	}
	model := p.service.Model(record.Model)
	if model == nil || len(record.Members) != model.GroupSize {
		p.dissolve(record)
		return
	}
	if p.repair(record) {
		return
	}
	p.converge(record)
}

// finishDissolution deletes the record of a group once none of its heads can serve.
func (p *planner) finishDissolution(record *ledger.Record) {
	p.plan.Converging = true
	if p.releaseFormer(record) {
		p.plan.Drops = append(p.plan.Drops, record.Group)
	}
}

// dissolve marks a group as dissolving. Its members remain granted until its head has
// released them.
func (p *planner) dissolve(record *ledger.Record) {
	p.addGroups(record.Domain, record.Model, -1)
	p.plan.Converging = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
		Members: record.Members, Former: p.formerGroups(record, false), Dissolving: true,
	})
}

func memberOf(e *registry.Endpoint) ledger.Member {
	return ledger.Member{ID: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}
