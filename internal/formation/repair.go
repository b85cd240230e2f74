package formation

import (
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// tooSlow is the factor on a member's times from which on it is replaced: a
// group runs at the pace of its slowest member.
const tooSlow = 1.8

// uselessAt is the factor on a member's times from which on its group is better
// taken apart, if no spare endpoint can take its place: hardly an answer is in time.
const uselessAt = 4.0

// condition is what is known of a member.
type condition int

const (
	sound   condition = iota
	slow              // works, but keeps the whole group slow
	leaving           // works for a while yet
	lost              // does not work, or has forgotten the group
)

// repair replaces the members that are lost, leaving or slow, and reports
// whether it proposed anything. Only endpoints that are ready soon take a place:
// a group that lost a member and finds none is taken apart, so that the others
// can serve in another group at once.
func (p *planner) repair(record *ledger.Record) bool {
	kept, worst := p.survivors(record)
	if worst == sound {
		return false
	}
	if p.allAbsent(record) {
		return true // nothing could be gained, and a group that is cut off may serve on
	}
	missing := len(record.Members) - len(kept)
	spares := p.warm(p.spares(record.Domain, record.Model), record.Model)
	if worst == slow {
		spares = p.notSlow(spares)
	}
	if len(spares) < missing {
		if worst != lost && !p.uselesslySlow(record) {
			return false
		}
		p.takeApart(record)
		return true
	}
	for _, spare := range spares[:missing] {
		kept = append(kept, memberOf(spare))
		p.take(spare)
	}
	p.plan.Unsettled = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
		Members: kept, Former: p.formerOf(record, worst != lost),
	})
	return true
}

// survivors returns the sound members and the worst condition of any.
func (p *planner) survivors(record *ledger.Record) ([]ledger.Member, condition) {
	worst := sound
	var kept []ledger.Member
	for _, member := range record.Members {
		condition := p.conditionOf(record, member)
		worst = max(worst, condition)
		if condition == sound {
			kept = append(kept, member)
		}
	}
	if worst == sound && p.headBroke(record) {
		return record.Members, lost
	}
	return kept, worst
}

// headBroke reports whether the group's head gave the group up though each
// member seems sound: it is formed anew under another epoch.
func (p *planner) headBroke(record *ledger.Record) bool {
	head := p.in.Endpoints.ByID[record.Head().ID]
	return head != nil && head.Group.In(record.Group, record.Epoch) && head.Group.State == registry.Broken
}

func (p *planner) conditionOf(record *ledger.Record, member ledger.Member) condition {
	e := p.in.Endpoints.ByID[member.ID]
	switch {
	case e == nil && p.worksUnseen(record, member):
		return sound
	case e == nil || e.Born != member.Born || p.dead(e):
		return lost
	case p.leftGroup(record, e):
		return lost
	case e.Draining:
		return leaving
	case p.slowness(e) >= tooSlow:
		return slow
	default:
		return sound
	}
}

// leftGroup reports whether a member is in a group that was granted later than
// this one, which only a lost order explains.
func (p *planner) leftGroup(record *ledger.Record, e *registry.Endpoint) bool {
	return e.Group.Epoch > record.Epoch
}

func (p *planner) notSlow(spares []*registry.Endpoint) []*registry.Endpoint {
	var kept []*registry.Endpoint
	for _, e := range spares {
		if p.slowness(e) < tooSlow {
			kept = append(kept, e)
		}
	}
	return kept
}

// formerOf returns the groups whose heads must let go before the members of a
// record that replaces this one may join.
func (p *planner) formerOf(record *ledger.Record, finish bool) []ledger.Former {
	var former []ledger.Former
	if !p.begun(record) {
		former = record.Former
	}
	return append(former[:len(former):len(former)], ledger.Former{
		Group: record.Group, Epoch: record.Epoch, Head: record.Head(), Finish: finish,
	})
}

// begun reports whether a member has joined: then all former heads had let go.
func (p *planner) begun(record *ledger.Record) bool {
	for _, member := range record.Members {
		e := p.in.Endpoints.ByID[member.ID]
		if e != nil && e.Group.In(record.Group, record.Epoch) {
			return true
		}
	}
	return false
}

// allAbsent reports whether no member of a record is known any more.
func (p *planner) allAbsent(record *ledger.Record) bool {
	for _, member := range record.Members {
		if p.in.Endpoints.ByID[member.ID] != nil {
			return false
		}
	}
	return true
}

// worksUnseen reports whether a member whose entry is missing may still work for
// its group: its way to the store may be cut alone, or the whole group may be cut
// off from here. A head that answers must have its entry, since requests go by it.
func (p *planner) worksUnseen(record *ledger.Record, member ledger.Member) bool {
	absence, known := p.in.Health.Absent[member.ID]
	if !known || absence.Born != member.Born || !p.begun(record) {
		return false
	}
	if absence.State == Asked || p.comesBack(record) {
		return true
	}
	return absence.State == Alive && member.ID != record.Head().ID
}

// comesBack reports whether a member's entry came back just now: those of the
// others follow within a heartbeat when a cut has ended.
func (p *planner) comesBack(record *ledger.Record) bool {
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.in.Now.Sub(e.Appeared) < orphanWait {
			return true
		}
	}
	return false
}

// slowness returns the factor on an endpoint's times, by its entry or a probe.
func (p *planner) slowness(e *registry.Endpoint) float64 {
	return max(e.SlowBy, p.in.Health.Slow[e.ID])
}

// uselesslySlow reports whether a member makes its group too slow to be of use.
func (p *planner) uselesslySlow(record *ledger.Record) bool {
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.slowness(e) >= uselessAt {
			return true
		}
	}
	return false
}
