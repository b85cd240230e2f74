package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// FindPendingOrder returns the control order that a VM has yet to carry out according to
// its latest report, or false if there is none.
func FindPendingOrder(fold *Fold, observation Observation) (PendingOrder, bool) {
	report := observation.Report
	state := fold.VM(report.VM)
	if report.Group == state.Group || report.Group > state.Fence {
		return PendingOrder{}, false // carried out already, or the report is newer than this fold
	}
	if state.Group == fleet.NoGroup {
		return PendingOrder{VM: report.VM, Fencing: state.Fence}, true
	}
	record := fold.groups[state.Group]
	// A ready group with a member that left it is dead, and the planner releases
	// it. Joining again would hide the restart.
	if record.IsReady() {
		return PendingOrder{}, false
	}
	return PendingOrder{VM: report.VM, Join: true, Fencing: record.Fencing, Group: record.Group}, true
}
