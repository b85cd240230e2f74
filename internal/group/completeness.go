package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Check returns the condition of a group at now. A member whose report is older
// than bound counts as silent.
func Check(record *Record, world World, now time.Time, bound time.Duration) Condition {
	if record.Draining {
		return Draining
	}
	if !record.IsReady() {
		return Loading
	}
	for _, vm := range record.Members {
		if condition := checkMember(record, vm, world, now, bound); condition != Complete {
			return condition
		}
	}
	return Complete
}

func checkMember(record *Record, vm fleet.VMID, world World, now time.Time, bound time.Duration) Condition {
	observation, ok := world.Observations[vm]
	if !ok || !observation.Fresh(now, bound) {
		return MemberSilent
	}
	report := observation.Report
	if report.Boot != record.Boots[vm] {
		return MemberBooted
	}
	if report.Group != record.Fencing || report.State != fleet.EngineReady {
		return MemberMoved
	}
	if world.VMs[vm].Leaving {
		return MemberGoing
	}
	return Complete
}

// ValidUntil returns the time at which the oldest report of a group's members
// becomes stale. A reader of an older snapshot must not use the group after it.
func ValidUntil(record *Record, world World, bound time.Duration) time.Time {
	oldest := world.Observations[record.Leader()].At
	for _, vm := range record.Members {
		if at := world.Observations[vm].At; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest.Add(bound)
}

// Missing returns the members that prevent a ready group from being complete.
func Missing(record *Record, world World, now time.Time, bound time.Duration) []fleet.VMID {
	var missing []fleet.VMID
	for _, vm := range record.Members {
		if record.IsReady() && checkMember(record, vm, world, now, bound) != Complete {
			missing = append(missing, vm)
		}
	}
	return missing
}
