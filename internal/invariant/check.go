package invariant

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Check is the recorded input of one check of a data centre, with its bounds.
type Check struct {
	// Ledger contains the grants in the group stream.
	Ledger *Ledger
	// Events are the recorded events of all engines.
	Events []fakes.EngineEvent
	// Leaving is the time at which each leaving VM was first listed as leaving.
	Leaving map[fleet.VMID]time.Time
	// Detection is the maximum time until a missing member is detected.
	Detection time.Duration
	// LeavingBound is the maximum time for which a group with a leaving member may
	// start requests.
	LeavingBound time.Duration
}

// Run returns all violations, ordered by the time of the event.
func (c Check) Run() []*Violation {
	events := slices.Clone(c.Events)
	slices.SortStableFunc(events, func(a, b fakes.EngineEvent) int { return a.At.Compare(b.At) })
	memberships := map[fleet.VMID]*membership{}
	for _, event := range events {
		if memberships[event.VM] == nil {
			memberships[event.VM] = &membership{}
		}
	}
	var violations []*Violation
	for _, event := range events {
		violations = append(violations, c.checkJoin(event, memberships[event.VM])...)
		memberships[event.VM].apply(event)
		violations = append(violations, c.checkStart(event, memberships)...)
	}
	return violations
}

func (c Check) checkJoin(event fakes.EngineEvent, m *membership) []*Violation {
	if event.Kind != fakes.EventControl || event.Order.Action != endpoint.Join {
		return nil
	}
	var violations []*Violation
	fencing := event.Order.Fencing
	if !c.Ledger.Granted(fencing, event.VM) {
		violations = append(violations, &Violation{Rule: OnlyGranted, At: event.At, VM: event.VM, Group: fencing, Reason: "the log did not grant the VM to the group"})
	}
	if fencing < m.highest {
		violations = append(violations, &Violation{Rule: JoinsRise, At: event.At, VM: event.VM, Group: fencing, Reason: fmt.Sprintf("the VM had already joined group %d", m.highest)})
	}
	return violations
}

func (c Check) checkStart(event fakes.EngineEvent, memberships map[fleet.VMID]*membership) []*Violation {
	if event.Kind != fakes.EventStart {
		return nil
	}
	members := c.Ledger.Members(event.Group)
	if !slices.Contains(members, event.VM) {
		return []*Violation{{Rule: OnlyComplete, At: event.At, VM: event.VM, Group: event.Group, Reason: "the VM is not a member of the group"}}
	}
	var violations []*Violation
	for _, vm := range members {
		if v := c.checkMember(event, vm, memberships[vm]); v != nil {
			violations = append(violations, v)
		}
	}
	return violations
}

func (c Check) checkMember(start fakes.EngineEvent, vm fleet.VMID, m *membership) *Violation {
	if leavingAt, ok := c.Leaving[vm]; ok && start.At.Sub(leavingAt) > c.LeavingBound {
		return &Violation{Rule: LeavingRests, At: start.At, VM: vm, Group: start.Group, Reason: fmt.Sprintf("the member has been leaving for %s", start.At.Sub(leavingAt))}
	}
	if m == nil {
		return &Violation{Rule: OnlyComplete, At: start.At, VM: vm, Group: start.Group, Reason: "the member has no recorded events"}
	}
	if at, missing := m.missingSince(start.Group); missing && start.At.Sub(at) > c.Detection {
		return &Violation{Rule: OnlyComplete, At: start.At, VM: vm, Group: start.Group, Reason: fmt.Sprintf("the member has been missing for %s", start.At.Sub(at))}
	}
	return nil
}
