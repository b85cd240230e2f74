package formation

import (
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// finishLimit is how long a sound head may end its requests before its group is
// formed anew: above the length of most answers.
const finishLimit = 2500 * time.Millisecond

// settle orders what brings the members of a record into its group.
func (p *planner) settle(record *ledger.Record) {
	if p.serves(record) {
		p.stageMembers(record)
		return
	}
	p.plan.Unsettled = true
	if !p.release(record) {
		return
	}
	if p.joinAll(record) {
		p.open(record)
	}
}

func (p *planner) serves(record *ledger.Record) bool {
	head := p.in.Endpoints.ByID[record.Head().ID]
	return head != nil && head.Group.In(record.Group, record.Epoch) && head.Group.State == registry.Open
}

// release makes the heads of the former groups let go, and reports whether all
// have. Until then no member may join: a head that still serves without its
// members would stall what it runs.
func (p *planner) release(record *ledger.Record) bool {
	released := true
	for _, former := range record.Former {
		if !p.letGo(former) {
			released = false
		}
	}
	return released
}

// letGo reports whether a former head can serve no more, and orders it to stop
// if it may.
func (p *planner) letGo(former ledger.Former) bool {
	if p.in.Health.LetGo[FormerKey(former)] {
		return true
	}
	e := p.in.Endpoints.ByID[former.Head.ID]
	if e != nil && e.Born != former.Head.Born {
		return true // its present life knows nothing of the group
	}
	order := Order{To: former.Head, Operation: Leave, Group: former.Group, Epoch: former.Epoch}
	if former.Finish && e != nil && p.finishes(former, e, &order) {
		return false
	}
	p.plan.Orders = append(p.plan.Orders, order)
	return false
}

// finishes reports whether a former head is to be left alone, because it still
// ends its requests. If it has yet to begin that, order tells it to.
func (p *planner) finishes(former ledger.Former, e *registry.Endpoint, order *Order) bool {
	if !e.Group.In(former.Group, former.Epoch) || !e.Group.Serves() {
		return false
	}
	since, begun := p.in.Health.Closing[FormerKey(former)]
	if !begun {
		order.Operation = Finish
		return false
	}
	return p.in.Now.Sub(time.UnixMilli(since)) < finishLimit
}

// FormerKey tells former groups apart in Health.
func FormerKey(former ledger.Former) string {
	return former.Group + "/" + strconv.FormatUint(former.Epoch, 10) + "/" + former.Head.ID
}

// joinAll orders each member to join that has not, and reports whether all are
// ready under exactly this record.
func (p *planner) joinAll(record *ledger.Record) bool {
	var ids []string
	for _, member := range record.Members {
		ids = append(ids, member.ID)
	}
	ready := true
	for _, member := range record.Members {
		e := p.in.Endpoints.ByID[member.ID]
		if e == nil {
			return false // it works unseen, and cannot be seen to be ready
		}
		if e.Group.In(record.Group, record.Epoch) {
			ready = ready && e.Group.State == registry.Ready
			continue
		}
		ready = false
		p.plan.Orders = append(p.plan.Orders, Order{
			To: member, Operation: Join, Group: record.Group, Epoch: record.Epoch, Model: record.Model, Members: ids,
			Loads: e.Model != record.Model && !e.Holds(record.Model),
		})
	}
	return ready
}

func (p *planner) open(record *ledger.Record) {
	p.plan.Orders = append(p.plan.Orders, Order{To: record.Head(), Operation: Open, Group: record.Group, Epoch: record.Epoch})
}
