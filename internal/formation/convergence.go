package formation

import (
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// drainTimeout is how long a healthy head may complete its requests before its
// group is formed again; it exceeds the duration of most responses.
const drainTimeout = 2500 * time.Millisecond

// converge orders the next step that brings a group into the state of its record:
// release of the former heads, join of the members, opening of the head.
func (p *planner) converge(record *ledger.Record) {
	if p.isServing(record) {
		p.stageMembers(record)
		return
	}
	p.plan.Converging = true
	if p.grantedInEarlierEra(record) {
		p.grantAnew(record)
		return
	}
	if !p.releaseFormer(record) {
		return
	}
	if p.joinAll(record) {
		p.orderOpen(record)
	}
}

func (p *planner) isServing(record *ledger.Record) bool {
	head := p.in.Endpoints.ByID[record.Head().ID]
	return head != nil && head.Group.In(record.Group, record.Epoch) && head.Group.State == registry.Open
}

// releaseFormer orders the heads of the former groups to release them, and reports
// whether all have, or the members have left those that cannot be told to. Until then no
// member may join the new group: it would be in two groups at once, and the requests of a
// head that still serves would stall without it.
func (p *planner) releaseFormer(record *ledger.Record) bool {
	released := true
	for _, former := range record.Former {
		if !p.released(former) && !p.vacated(record, former) {
			released = false
		}
	}
	return released
}

// vacated reports whether the members of a record have left the former group of a doubtful
// head, and orders the others to. Those of a group that is being dissolved need not have: once
// its record is deleted each is an orphan until it has.
func (p *planner) vacated(record *ledger.Record, former ledger.FormerGroup) bool {
	if !p.in.Health.Doubtful[FormerKey(former)] {
		return false
	}
	if record.Dissolving {
		return true
	}
	vacated := true
	for _, member := range record.Members {
		if p.hasVacated(member, former.Group, former.Epoch) {
			continue
		}
		vacated = false
		if member.ID != former.Head.ID {
			p.orderVacate(member, former.Group, former.Epoch)
		}
	}
	return vacated
}

// hasVacated reports whether a member is known to have left a group, or to be in a later one.
func (p *planner) hasVacated(member ledger.Member, group string, epoch uint64) bool {
	if p.in.Health.Vacated[VacancyKey(member, group, epoch)] {
		return true
	}
	e := p.in.Endpoints.ByID[member.ID]
	return e != nil && e.Incarnation == member.Incarnation && e.Group.Epoch > epoch
}

func (p *planner) orderVacate(member ledger.Member, group string, epoch uint64) {
	p.plan.Orders = append(p.plan.Orders, Order{To: member, Operation: Vacate, Group: group, Epoch: epoch})
}

// released reports whether a former head has left its group, and otherwise orders it to drain
// or leave.
func (p *planner) released(former ledger.FormerGroup) bool {
	if p.in.Health.Released[FormerKey(former)] {
		return true
	}
	e := p.in.Endpoints.ByID[former.Head.ID]
	if e != nil && e.Incarnation > former.Head.Incarnation {
		return true // the endpoint has restarted and is no longer in the group
	}
	order := Order{To: former.Head, Operation: Leave, Group: former.Group, Epoch: former.Epoch}
	if former.Drain && e != nil && p.stillDraining(former, e, &order) {
		return false
	}
	p.plan.Orders = append(p.plan.Orders, order)
	return false
}

// stillDraining reports whether a former head is completing its requests within
// drainTimeout and needs no order. If it serves but has not begun to drain, the
// operation of order is set to Drain.
func (p *planner) stillDraining(former ledger.FormerGroup, e *registry.Endpoint, order *Order) bool {
	if !e.Group.In(former.Group, former.Epoch) || !e.Group.CanServe() {
		return false
	}
	since, draining := p.in.Health.DrainingSince[FormerKey(former)]
	if !draining {
		order.Operation = Drain
		return false
	}
	return p.in.Now.Sub(time.UnixMilli(since)) < drainTimeout
}

// FormerKey returns the key of a former group in Health.
func FormerKey(former ledger.FormerGroup) string {
	return GroupKey(former.Group, former.Epoch) + "/" + former.Head.ID
}

// GroupKey returns the key of a group in Health.
func GroupKey(group string, epoch uint64) string {
	return group + "/" + strconv.FormatUint(epoch, 10)
}

// VacancyKey returns the key of a member of a group in Health.
func VacancyKey(member ledger.Member, group string, epoch uint64) string {
	return GroupKey(group, epoch) + "/" + member.ID + "/" + strconv.FormatInt(member.Incarnation, 10)
}

// joinAll orders the members that have not joined to do so, and reports whether
// all are ready under the epoch of the record.
func (p *planner) joinAll(record *ledger.Record) bool {
	var ids []string
	for _, member := range record.Members {
		ids = append(ids, member.ID)
	}
	model := p.service.Model(record.Model)
	ready := true
	for _, member := range record.Members {
		e := p.in.Endpoints.ByID[member.ID]
		if e == nil {
			return false // presumed alive, but without an entry its state is unknown
		}
		if e.Group.In(record.Group, record.Epoch) {
			ready = ready && e.Group.State == registry.Ready
			continue
		}
		ready = false
		p.plan.Orders = append(p.plan.Orders, Order{
			To: member, Operation: Join, Group: record.Group, Epoch: record.Epoch, Model: record.Model, Members: ids,
			NeedsLoad: e.Model != record.Model && !e.HasStaged(record.Model), EffectAfter: p.joinDuration(e, model),
		})
	}
	return ready
}

func (p *planner) orderOpen(record *ledger.Record) {
	p.plan.Orders = append(p.plan.Orders, Order{To: record.Head(), Operation: Open, Group: record.Group, Epoch: record.Epoch, EffectAfter: p.openDuration()})
}
