package formation

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// shiftSource provides the members of the groups that a change forms.
type shiftSource struct {
	planner *planner
	closed  []*ledger.Record
	members []ledger.Member            // of the new groups
	unused  map[string][]ledger.Member // members of closed groups that no new group takes, by name of the group
}

// newShiftSource selects the members: those of the closed groups that can serve the model without
// a load from the weight store, and then free endpoints that can.
func newShiftSource(p *planner, change apportion.Change, to *catalog.Model, needed int) *shiftSource {
	s := &shiftSource{planner: p, unused: map[string][]ledger.Member{}}
	for _, name := range change.Close {
		record := p.in.Groups.Groups[name]
		s.closed = append(s.closed, record)
		for _, member := range record.Members {
			e := p.in.Endpoints.ByID[member.ID]
			if len(s.members) < needed && e != nil && p.healthy(e) && len(p.warm([]*registry.Endpoint{e}, to.Name)) == 1 {
				s.members = append(s.members, member)
				continue
			}
			s.unused[name] = append(s.unused[name], member)
		}
	}
	for _, e := range p.warm(p.spares(change.Domain, to.Name), to.Name) {
		if len(s.members) < needed {
			s.members = append(s.members, memberOf(e))
			p.removeFree(e)
		}
	}
	return s
}

// unusedNames returns the names of the closed groups that no record of leftovers needs.
func (s *shiftSource) unusedNames() []string {
	var names []string
	for _, record := range s.closed {
		if len(s.unused[record.Group]) == 0 {
			names = append(names, record.Group)
		}
	}
	return names
}

// formerOf returns the closed groups whose heads must be released before members may join a new
// group.
func (s *shiftSource) formerOf(members []ledger.Member) []ledger.FormerGroup {
	var former []ledger.FormerGroup
	for _, record := range s.closed {
		if slices.ContainsFunc(members, func(m ledger.Member) bool { return record.Has(m.ID) }) {
			former = append(former, s.planner.formerGroups(record, true)...)
		}
	}
	return former
}

// leftovers returns dissolving records for the members that no new group takes: they are free once
// the head of their group has released it.
func (s *shiftSource) leftovers() []*ledger.Record {
	var records []*ledger.Record
	for _, record := range s.closed {
		if members := s.unused[record.Group]; len(members) > 0 {
			records = append(records, &ledger.Record{
				Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
				Members: members, Former: s.planner.formerGroups(record, true), Dissolving: true,
			})
		}
	}
	return records
}
