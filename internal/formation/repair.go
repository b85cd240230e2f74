package formation

import (
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// replaceSlowdown is the slowdown factor from which a member is replaced: a group
// runs at the speed of its slowest member.
const replaceSlowdown = 1.8

// dissolveSlowdown is the slowdown factor of a member from which its group is
// dissolved if there is no spare endpoint to replace it: hardly any response would
// meet its deadline.
const dissolveSlowdown = 4.0

// memberCondition classifies a group member, in ascending order of severity.
type memberCondition int

const (
	healthy memberCondition = iota
	slow                    // running, but slows the whole group down
	leaving                 // draining, still running
	lost                    // not running, restarted, or moved to a later group
)

// repair replaces members that are lost, leaving or slow. It reports whether the
// group needs no further step in this round. Only endpoints that can serve the
// model without a load from the weight store become replacements: a group that
// lost a member and finds none is dissolved, so that the other members can serve
// in another group immediately.
func (p *planner) repair(record *ledger.Record) bool {
	kept, worst := p.assessMembers(record)
	if worst == healthy {
		return false
	}
	if p.allAbsent(record) {
		return true // no member can be ordered, and a partitioned group may still be serving
	}
	missing := len(record.Members) - len(kept)
	spares := p.warm(p.spares(record.Domain, record.Model), record.Model)
	if worst == slow {
		spares = p.withoutSlow(spares)
	}
	if len(spares) < missing {
		if worst != lost && !p.unusablySlow(record) {
			return false
		}
		p.dissolve(record)
		return true
	}
	for _, spare := range spares[:missing] {
		kept = append(kept, memberOf(spare))
		p.removeFree(spare)
	}
	p.plan.Unsettled = true
	p.plan.Grants = append(p.plan.Grants, &ledger.Record{
		Group: record.Group, Service: record.Service, Model: record.Model, Domain: record.Domain,
		Members: kept, Former: p.formerGroups(record, worst != lost),
	})
	return true
}

// assessMembers returns the healthy members and the worst condition of all.
func (p *planner) assessMembers(record *ledger.Record) ([]ledger.Member, memberCondition) {
	worst := healthy
	var kept []ledger.Member
	for _, member := range record.Members {
		condition := p.conditionOf(record, member)
		worst = max(worst, condition)
		if condition == healthy {
			kept = append(kept, member)
		}
	}
	if worst == healthy && p.headBroken(record) {
		return record.Members, lost
	}
	return kept, worst
}

// headBroken reports whether the group's head reports the group as broken. The
// group is then formed again under a new epoch, even if every member appears
// healthy.
func (p *planner) headBroken(record *ledger.Record) bool {
	head := p.in.Endpoints.ByID[record.Head().ID]
	return head != nil && head.Group.In(record.Group, record.Epoch) && head.Group.State == registry.Broken
}

func (p *planner) conditionOf(record *ledger.Record, member ledger.Member) memberCondition {
	e := p.in.Endpoints.ByID[member.ID]
	switch {
	case e == nil && p.presumedAlive(record, member):
		return healthy
	case e == nil || e.Born != member.Born || p.dead(e):
		return lost
	case p.joinedLaterGroup(record, e):
		return lost
	case e.Draining:
		return leaving
	case p.slowdown(e) >= replaceSlowdown:
		return slow
	default:
		return healthy
	}
}

// joinedLaterGroup reports whether a member is in a group that was granted later
// than this one, which happens only if an order was lost.
func (p *planner) joinedLaterGroup(record *ledger.Record, e *registry.Endpoint) bool {
	return e.Group.Epoch > record.Epoch
}

func (p *planner) withoutSlow(spares []*registry.Endpoint) []*registry.Endpoint {
	var kept []*registry.Endpoint
	for _, e := range spares {
		if p.slowdown(e) < replaceSlowdown {
			kept = append(kept, e)
		}
	}
	return kept
}

// formerGroups returns the groups whose heads must be released before the members
// of a record that replaces this one may join.
func (p *planner) formerGroups(record *ledger.Record, finish bool) []ledger.Former {
	var former []ledger.Former
	if !p.anyJoined(record) {
		former = record.Former
	}
	return append(former[:len(former):len(former)], ledger.Former{
		Group: record.Group, Epoch: record.Epoch, Head: record.Head(), Finish: finish,
	})
}

// anyJoined reports whether a member has joined the group, which implies that all
// former heads were released.
func (p *planner) anyJoined(record *ledger.Record) bool {
	for _, member := range record.Members {
		e := p.in.Endpoints.ByID[member.ID]
		if e != nil && e.Group.In(record.Group, record.Epoch) {
			return true
		}
	}
	return false
}

// allAbsent reports whether no member of a record has a registry entry.
func (p *planner) allAbsent(record *ledger.Record) bool {
	for _, member := range record.Members {
		if p.in.Endpoints.ByID[member.ID] != nil {
			return false
		}
	}
	return true
}

// presumedAlive reports whether a member without a registry entry may still be
// working for its group: it may have lost only its connection to the store, or the
// whole group may be partitioned from this daemon. A head is not presumed alive on
// the answer to a probe alone, since requests are routed by its registry entry.
func (p *planner) presumedAlive(record *ledger.Record, member ledger.Member) bool {
	absence, known := p.in.Health.Absent[member.ID]
	if !known || absence.Born != member.Born || !p.anyJoined(record) {
		return false
	}
	if absence.State == Unconfirmed || p.recentlyReturned(record) {
		return true
	}
	return absence.State == Alive && member.ID != record.Head().ID
}

// recentlyReturned reports whether the entry of any member has just appeared: when
// a partition heals, those of the others follow within a heartbeat.
func (p *planner) recentlyReturned(record *ledger.Record) bool {
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.in.Now.Sub(e.FirstSeen) < orphanGracePeriod {
			return true
		}
	}
	return false
}

// slowdown returns the slowdown factor of an endpoint, the greater of its registry
// entry's and the last probe's.
func (p *planner) slowdown(e *registry.Endpoint) float64 {
	return max(e.SlowBy, p.in.Health.Slow[e.ID])
}

// unusablySlow reports whether any member reaches dissolveSlowdown.
func (p *planner) unusablySlow(record *ledger.Record) bool {
	for _, member := range record.Members {
		if e := p.in.Endpoints.ByID[member.ID]; e != nil && p.slowdown(e) >= dissolveSlowdown {
			return true
		}
	}
	return false
}
