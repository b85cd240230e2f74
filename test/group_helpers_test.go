package test

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/invariant"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	north = fleet.DataCentre("north")
	// detectionBound is the time within which daemons must notice a missing
	// member: the report bound of a test bed, 0.6 s, and a margin for a busy
	// machine. Injected faults last longer, so that a missed detection is a
	// violation.
	detectionBound = 2 * time.Second
	leavingBound   = 3 * time.Second
	repairTimeout  = 30 * time.Second
)

func completeGroups(d *testbed.Daemon) int { return len(d.CompleteGroups(testbed.SampleModel)) }

// eventuallyComplete waits until a daemon has count complete groups in its view
// and returns them.
func eventuallyComplete(d *testbed.Daemon, count int) []fleet.Group {
	var groups []fleet.Group
	EventuallyWithOffset(1, func() int {
		groups = d.CompleteGroups(testbed.SampleModel)
		return len(groups)
	}, repairTimeout, pollInterval).Should(Equal(count))
	return groups
}

func ledger(bed *testbed.Bed) *invariant.Ledger {
	return invariant.NewLedger(bed.Log.Records(group.StreamName(north)))
}

func newCheck(bed *testbed.Bed) invariant.Check {
	check := invariant.Check{Ledger: ledger(bed), Leaving: map[fleet.VMID]time.Time{}, DetectionBound: detectionBound, LeavingBound: leavingBound}
	for _, engine := range bed.Engines {
		check.Events = append(check.Events, engine.Events()...)
	}
	return check
}

func expectNoViolation(check invariant.Check) {
	ExpectWithOffset(1, check.Run()).To(BeEmpty())
}

func countEvents(bed *testbed.Bed, kind string) int {
	count := 0
	for _, event := range newCheck(bed).Events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

func engineOptions(checksFencing bool) fakes.EngineOptions {
	return fakes.EngineOptions{ChecksFencing: checksFencing, LoadTime: 100 * time.Millisecond, TokenDelay: time.Millisecond}
}
