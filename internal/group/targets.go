package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// Target returns the control order that a VM has yet to carry out according to
// its latest report, or false if there is none.
func Target(fold *Fold, observation Observation) (ControlTarget, bool) {
	report := observation.Report
	state := fold.VM(report.VM)
	if report.Group == state.Group || report.Group > state.Fence {
		return ControlTarget{}, false // carried out already, or the report is newer than this fold
	}
	if state.Group == fleet.NoGroup {
		return ControlTarget{VM: report.VM, Fencing: state.Fence}, true
	}
	record := fold.groups[state.Group]
	// A ready group with a member that left it is dead, and the planner releases
	// it. Joining again would hide the restart.
	if record.IsReady() {
		return ControlTarget{}, false
	}
	return ControlTarget{VM: report.VM, Join: true, Fencing: record.Fencing, Group: record.Group}, true
}
