package formation

import (
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// orphanGracePeriod is the time that the head of a group has to register again
// after one of its members has: two heartbeats.
const orphanGracePeriod = 2500 * time.Millisecond

// orphaned reports whether an endpoint is still a member of a group that is no
// longer in the ledger and whose head may still be serving. This happens when a
// network partition hides a head, or a whole group, while it is dissolved. The head of such a
// group is ordered to leave it and, if the head is not registered, each member.
func (p *planner) orphaned(e *registry.Endpoint) bool {
	if e.Group.Group == "" || strings.HasPrefix(e.Group.Group, sparePrefix) {
		return false
	}
	head := p.headOf(e)
	switch {
	case head != nil && !head.Group.CanServe():
		return false
	case head == nil && p.isReleased(e):
		return false
	case head == nil && p.in.Now.Sub(e.FirstSeen) < orphanGracePeriod:
		return true
	case p.in.EraAge < eraSettlingPeriod && p.in.Groups.Era > 0:
		return true // the store may have lost the record, and a daemon that knows it writes it again
	case !p.in.Owns(e.Domain) || e.Group.Epoch >= p.in.Groups.EndEpoch():
		return true // the ledger may have a record that has not been read
	case head == e:
		p.plan.Converging = true
		p.plan.Orders = append(p.plan.Orders, Order{To: memberOf(e), Operation: Leave, Group: e.Group.Group, Epoch: e.Group.Epoch})
	case head == nil:
		p.plan.Converging = true
		p.orderVacate(memberOf(e), e.Group.Group, e.Group.Epoch)
	}
	return true
}

// isReleased reports whether an endpoint may leave its group for another: the head has left it, or
// the endpoint itself, since it wrote its entry.
func (p *planner) isReleased(e *registry.Endpoint) bool {
	return p.in.Health.Ended[GroupKey(e.Group.Group, e.Group.Epoch)] || p.in.Health.Vacated[VacancyKey(memberOf(e), e.Group.Group, e.Group.Epoch)]
}

// headOf returns the head of the group that an endpoint reports as its own, nil if
// the head is not registered.
func (p *planner) headOf(e *registry.Endpoint) *registry.Endpoint {
	for _, other := range p.in.Endpoints.ByService[e.Service] {
		if other.Group.Rank == 0 && other.Group.In(e.Group.Group, e.Group.Epoch) {
			return other
		}
	}
	return nil
}

// otherMembers returns the registered members of a former group except its head.
// If one of them answers a probe, the group as a whole is not partitioned.
func otherMembers(former ledger.FormerGroup, endpoints *registry.Snapshot) []ledger.Member {
	var found []ledger.Member
	for _, e := range endpoints.ByID {
		if e.ID != former.Head.ID && e.Group.In(former.Group, former.Epoch) {
			found = append(found, memberOf(e))
		}
	}
	return found
}
