package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Check returns the condition of a group at now. A report older than bound
// proves nothing.
func Check(record *Record, world World, now time.Time, bound time.Duration) Condition {
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
