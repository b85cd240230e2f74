package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// MakePlan returns what brings the groups of the owned domains closer to serving:
// lost members are replaced by what is quickest to serve, free endpoints form
// the groups that the configured shares miss most, and those that are left over
// keep loaded what would be needed first.
func MakePlan(in Input) Plan {
	p := &planner{in: in}
	for _, name := range slices.Sorted(maps.Keys(in.Catalog.Services)) {
		if service := in.Catalog.Services[name]; service.Grouped() {
			p.planService(service)
		}
	}
	return p.plan
}

type planner struct {
	in      Input
	plan    Plan
	service *catalog.Service
	free    map[string][]*registry.Endpoint // by domain
	counts  map[string]int                  // groups by model, over all domains
	handy   map[string]map[string]int       // endpoints by domain and model at hand
}

func (p *planner) planService(service *catalog.Service) {
	p.service = service
	p.findFree()
	p.countGroups()
	p.countHandy()
	for _, record := range p.records() {
		if p.in.Owns(record.Domain) {
			p.keep(record)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(p.free)) {
		if p.in.Owns(domain) {
			p.fill(domain)
			p.prepareSpares(domain)
		}
	}
}

// records returns the groups of the service, in the order of their names.
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
	held := map[string]bool{}
	for _, record := range p.in.Groups.Groups {
		for _, member := range record.Members {
			held[member.ID] = true
		}
	}
	p.free = map[string][]*registry.Endpoint{}
	for _, e := range p.in.Endpoints.ByService[p.service.Name] {
		if !held[e.ID] && p.sound(e) && e.Domain != "" && !p.orphaned(e) {
			p.free[e.Domain] = append(p.free[e.Domain], e)
		}
	}
}

// sound reports whether an endpoint may become a member.
func (p *planner) sound(e *registry.Endpoint) bool {
	return e.Usable() && !e.Lapsed() && !p.dead(e)
}

func (p *planner) dead(e *registry.Endpoint) bool {
	born, dead := p.in.Health.Dead[e.ID]
	return dead && born == e.Born
}

func (p *planner) countGroups() {
	p.counts = map[string]int{}
	for _, record := range p.records() {
		if !record.Ending && !p.allAbsent(record) {
			p.counts[record.Model]++
		}
	}
}

// keep brings one group closer to its record, or replaces the record.
func (p *planner) keep(record *ledger.Record) {
	if record.Ending {
		p.end(record)
		return
	}
	model := p.service.Model(record.Model)
	if model == nil || len(record.Members) != model.Size {
		p.takeApart(record)
		return
	}
	if p.repair(record) {
		return
	}
	p.settle(record)
}

// end drops the record of a group once none of its heads can serve.
func (p *planner) end(record *ledger.Record) {
	p.plan.Unsettled = true
	if p.release(record) {
		p.plan.Drops = append(p.plan.Drops, record.Group)
	}
}

// takeApart marks a group as ending. Its members stay granted until its head
// has let go.
func (p *planner) takeApart(record *ledger.Record) {
	p.counts[record.Model]--
	p.plan.Unsettled = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
		Members: record.Members, Former: p.formerOf(record, false), Ending: true,
	})
}

func memberOf(e *registry.Endpoint) ledger.Member {
	return ledger.Member{ID: e.ID, Address: e.Address, Born: e.Born}
}
