package formation

import (
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// orphanWait is how long after an endpoint came back its former head may take to
// come back too: two heartbeats.
const orphanWait = 2500 * time.Millisecond

// orphaned reports whether an endpoint is still in a group that the ledger has no
// more, of which the head may serve: the whole group was cut off while it was
// taken apart. Such a head is ordered to leave.
func (p *planner) orphaned(e *registry.Endpoint) bool {
	if e.Group.Group == "" || strings.HasPrefix(e.Group.Group, sparePrefix) {
		return false
	}
	head := p.headOf(e)
	if head == nil {
		return p.in.Now.Sub(e.Appeared) < orphanWait
	}
	if !head.Group.Serves() {
		return false
	}
	if head == e && p.in.Owns(e.Domain) {
		p.plan.Unsettled = true
		p.plan.Orders = append(p.plan.Orders, Order{To: memberOf(e), Operation: Leave, Group: e.Group.Group, Epoch: e.Group.Epoch})
	}
	return true
}

// headOf returns the endpoint that is the head of the group in which an endpoint
// says that it is, nil if none is known.
func (p *planner) headOf(e *registry.Endpoint) *registry.Endpoint {
	for _, other := range p.in.Endpoints.ByService[e.Service] {
		if other.Group.Rank == 0 && other.Group.In(e.Group.Group, e.Group.Epoch) {
			return other
		}
	}
	return nil
}

// companions returns the members of a former group other than its head, as far
// as they are known: one that answers shows that not the whole group is cut off.
func companions(former ledger.Former, endpoints *registry.Snapshot) []ledger.Member {
	var found []ledger.Member
	for _, e := range endpoints.ByID {
		if e.ID != former.Head.ID && e.Group.In(former.Group, former.Epoch) {
			found = append(found, memberOf(e))
		}
	}
	return found
}
