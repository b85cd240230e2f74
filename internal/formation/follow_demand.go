package formation

import (
	"maps"
	"slices"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// followDemand changes groups of one model into groups of another if the demand has called for it
// for some time. All records of a change are written by one append, which fails if the ledger has
// newer records: of planners that decide at once, with whatever demand they know, one succeeds, and
// the others see its records and wait. Each of these records states by itself what is to be done, so
// that any planner completes the change.
func (p *planner) followDemand() {
	if p.needs == nil {
		return
	}
	models := p.apportionedModels()
	evacuation := p.evacuation()
	paying, pays := evacuation.Next(models, p.apportionedDomains(true))
	if !pays {
		p.stageForChange(models, evacuation)
		return
	}
	if p.plan.Paying == nil {
		p.plan.Paying = map[string]apportion.Change{}
	}
	p.plan.Paying[p.service.Name] = paying
	pace := p.in.Shifts.pace(p.service.Name, paying, p.in.Now)
	pace.Evacuation, pace.Incomplete = evacuation, p.changeIncomplete()
	if !pace.Permits() || p.recordsChange() {
		return
	}
	change, due := evacuation.Next(models, p.apportionedDomains(false))
	if due && change.From == paying.From && change.To == paying.To {
		p.shift(change)
	}
}

// recordsChange reports whether groups of the service are being dissolved or granted, or records
// have to be written again after the store has come back from an older copy. Groups that dissolve in an
// evacuated data centre take part in no change.
func (p *planner) recordsChange() bool {
	dissolving := func(record *ledger.Record) bool { return record.Dissolving && !p.evacuated.has(record.Domain) }
	return len(p.plan.Grants)+len(p.plan.Drops) > 0 || p.storeSettles() || slices.ContainsFunc(p.records(), dissolving)
}

// storeSettles reports whether the store has come back from an older copy a short time ago, or records
// have to be written again because of it.
func (p *planner) storeSettles() bool {
	return len(p.in.Groups.Forgotten)+len(p.in.Groups.Resurrected) > 0 || p.in.Groups.Era > 0 && p.in.EraAge < eraSettlingPeriod
}

func (p *planner) apportionedModels() []apportion.Model {
	serving := map[string]int{}
	for _, record := range p.records() {
		if !p.evacuated.has(record.Domain) && p.isSound(record) {
			serving[record.Model]++
		}
	}
	var models []apportion.Model
	for i := range p.service.Models {
		model := &p.service.Models[i]
		models = append(models, apportion.Model{
			Name: model.Name, GroupSize: model.GroupSize, Groups: p.counts.usable[model.Name], Serving: serving[model.Name], Need: p.needs[model.Name],
		})
	}
	return models
}

// isSound reports whether a group serves and none of its members is known to be lost.
func (p *planner) isSound(record *ledger.Record) bool {
	_, worst := p.assessMembers(record)
	return worst <= slow && !record.Dissolving && p.isServing(record)
}

// apportionedDomains returns the domains with what may be changed in them, without those of evacuated
// data centres. With all, it returns those of other planners too, and groups that do not serve now
// are no obstacle: every daemon then sees what pays off, also while a group is repaired.
func (p *planner) apportionedDomains(all bool) []apportion.Domain {
	domains := map[string]*apportion.Domain{}
	for name, free := range p.free {
		domain := &apportion.Domain{Name: name, Free: len(free), FreeFit: map[string]int{}, Reserved: min(p.reservedSpares(name), len(free))}
		for _, model := range p.service.Models {
			domain.FreeFit[model.Name] = len(p.warm(free, model.Name))
		}
		domains[name] = domain
	}
	for _, record := range p.records() {
		domain := domains[record.Domain]
		if domain == nil {
			domain = &apportion.Domain{Name: record.Domain}
			domains[record.Domain] = domain
		}
		if p.isSound(record) {
			domain.Groups = append(domain.Groups, p.apportionedGroup(record))
		} else if !all {
			domain.Unsettled = append(domain.Unsettled, record.Model)
		}
	}
	var chosen []apportion.Domain
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if (all || p.in.Owns(name)) && !p.evacuated.has(name) {
			chosen = append(chosen, *domains[name])
		}
	}
	return chosen
}

func (p *planner) apportionedGroup(record *ledger.Record) apportion.Group {
	group := apportion.Group{Name: record.Group, Model: record.Model, Fit: map[string]int{}}
	if p.in.InProgress != nil {
		group.InProgress = p.in.InProgress(record.Group, record.Epoch)
	}
	for _, model := range p.service.Models {
		group.Fit[model.Name] = p.warmMembers(record, model.Name)
	}
	return group
}

// shift plans the records of a change. The members of the closed groups join their new groups once
// the heads have completed their requests, for at most drainTimeout.
func (p *planner) shift(change apportion.Change) {
	to := p.service.Model(change.To)
	needed := change.Form * to.GroupSize
	source := newShiftSource(p, change, to, needed)
	names := source.unusedNames()
	for number := range change.Form {
		members := source.members[number*to.GroupSize : (number+1)*to.GroupSize]
		name := ""
		if number < len(names) {
			name = names[number]
		} else {
			name = p.newGroupName(change.Domain)
		}
		p.plan.Grants = append(p.plan.Grants, &ledger.Record{
			Group: name, Service: p.service.Name, Model: to.Name, Domain: change.Domain, Members: members, Former: source.formerOf(members),
		})
	}
	if len(names) > change.Form {
		p.plan.Drops = append(p.plan.Drops, names[change.Form:]...)
	}
	p.plan.Grants = append(p.plan.Grants, source.leftovers()...)
	p.addGroups(change.Domain, change.From, -len(change.Close))
	p.addGroups(change.Domain, change.To, change.Form)
	p.plan.Converging = true
	p.plan.Shifts = append(p.plan.Shifts, p.describe(change, to))
}

func (p *planner) describe(change apportion.Change, to *catalog.Model) Shift {
	return Shift{
		Change: change, Service: p.service.Name, Evacuation: p.evacuation(),
		FromDemand: p.demand[change.From].RequestsPerS, FromCapacity: p.capacity(p.service.Model(change.From)),
		ToDemand: p.demand[change.To].RequestsPerS, ToCapacity: p.capacity(to),
	}
}
