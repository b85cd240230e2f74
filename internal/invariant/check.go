package invariant

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Check is one reading of what the stand-ins of a data centre recorded.
type Check struct {
	// Ledger is the group stream.
	Ledger *Ledger
	// Events are those of all engines.
	Events []fakes.EngineEvent
	// Leaving says when each leaving VM was listed as such.
	Leaving map[fleet.VMID]time.Time
	// Detection is how long a missing member may stay unnoticed.
	Detection time.Duration
	// LeavingBound is how long a leaving member's group may start requests.
	LeavingBound time.Duration
}

// Run returns every breach, in the order of time.
func (c Check) Run() []*Violation {
	events := slices.Clone(c.Events)
	slices.SortStableFunc(events, func(a, b fakes.EngineEvent) int { return a.At.Compare(b.At) })
	vms := map[fleet.VMID]*membership{}
	for _, event := range events {
		if vms[event.VM] == nil {
			vms[event.VM] = &membership{}
		}
	}
	var found []*Violation
	for _, event := range events {
		found = append(found, c.checkJoin(event, vms[event.VM])...)
		vms[event.VM].follow(event)
		found = append(found, c.checkStart(event, vms)...)
	}
	return found
}

func (c Check) checkJoin(event fakes.EngineEvent, m *membership) []*Violation {
	if event.Kind != fakes.EventControl || event.Order.Action != endpoint.Join {
		return nil
	}
	var found []*Violation
	fencing := event.Order.Fencing
	if !c.Ledger.Granted(fencing, event.VM) {
		found = append(found, &Violation{Rule: OnlyGranted, At: event.At, VM: event.VM, Group: fencing, Why: "the log granted no such thing"})
	}
	if fencing < m.highest {
		found = append(found, &Violation{Rule: JoinsRise, At: event.At, VM: event.VM, Group: fencing, Why: fmt.Sprintf("it had joined %d", m.highest)})
	}
	return found
}

func (c Check) checkStart(event fakes.EngineEvent, vms map[fleet.VMID]*membership) []*Violation {
	if event.Kind != fakes.EventStart {
		return nil
	}
	members := c.Ledger.Members(event.Group)
	if !slices.Contains(members, event.VM) {
		return []*Violation{{Rule: OnlyComplete, At: event.At, VM: event.VM, Group: event.Group, Why: "it is no member of the group"}}
	}
	var found []*Violation
	for _, vm := range members {
		if v := c.checkMember(event, vm, vms[vm]); v != nil {
			found = append(found, v)
		}
	}
	return found
}

func (c Check) checkMember(start fakes.EngineEvent, vm fleet.VMID, m *membership) *Violation {
	if leftAt, ok := c.Leaving[vm]; ok && start.At.Sub(leftAt) > c.LeavingBound {
		return &Violation{Rule: LeavingRests, At: start.At, VM: vm, Group: start.Group, Why: fmt.Sprintf("it has been leaving for %s", start.At.Sub(leftAt))}
	}
	if m == nil {
		return &Violation{Rule: OnlyComplete, At: start.At, VM: vm, Group: start.Group, Why: "it was never told anything"}
	}
	if at, missing := m.missingSince(start.Group); missing && start.At.Sub(at) > c.Detection {
		return &Violation{Rule: OnlyComplete, At: start.At, VM: vm, Group: start.Group, Why: fmt.Sprintf("missing for %s", start.At.Sub(at))}
	}
	return nil
}
