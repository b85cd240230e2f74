package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Target returns the order that a member has not obeyed yet, by its latest
// report.
func Target(fold *Fold, observation Observation) (ControlTarget, bool) {
	report := observation.Report
	state := fold.VM(report.VM)
	if report.Group == state.Group || report.Group > state.Fence {
		return ControlTarget{}, false // obeyed, or ahead of this fold
	}
	if state.Group == fleet.NoGroup {
		return ControlTarget{VM: report.VM, Fencing: state.Fence}, true
	}
	record := fold.groups[state.Group]
	// A ready group whose member lost its place is dead: the planner releases
	// it. Joining again would hide the restart.
	if record.IsReady() {
		return ControlTarget{}, false
	}
	return ControlTarget{VM: report.VM, Join: true, Fencing: record.Fencing, Group: record.Group}, true
}
