package test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

const (
	flaps     = 8
	flapDown  = 900 * time.Millisecond // beyond the report bound of a bed, below the time after which a member is lost
	flapUp    = 700 * time.Millisecond
	flapForms = 4 // an unsteady VM shows by its third outage at the latest
)

func inGroups(groups []fleet.Group, vm fleet.VMID) bool {
	return slices.ContainsFunc(groups, func(g fleet.Group) bool { return slices.Contains(g.Members, vm) })
}

var _ = Describe("A member that fails and returns again and again", func() {
	DescribeTable("is left out while there are others, and used again when it is needed", func(down time.Duration, fail, comeBack func(*testbed.Engine)) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		var groups []fleet.Group
		for _, d := range daemons {
			groups = eventuallyComplete(d, 2)
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(2))
		}
		flapping, neighbour := bed.Engines[groups[0].Members[1]], groups[1]
		load := startTraffic(daemons...)
		Eventually(load.answered.Load, waitRepair, tick).Should(BeNumerically(">", 20))
		for range flaps {
			fail(flapping)
			time.Sleep(down)
			comeBack(flapping)
			time.Sleep(flapUp)
		}
		Expect(load.refused.Load()).To(BeZero())
		formed := ledger(bed).Forms()
		GinkgoWriter.Printf("%d forms for %d failures\n", formed-2, flaps)
		Expect(formed).To(BeNumerically("<=", 2+flapForms))
		for _, d := range daemons {
			groups = eventuallyComplete(d, 2)
			Expect(inGroups(groups, flapping.ID)).To(BeFalse())
			Expect(groups).To(ContainElement(neighbour))
		}

		repaired := slices.IndexFunc(groups, func(g fleet.Group) bool { return g.Fencing != neighbour.Fencing })
		bed.Engines[groups[repaired].Members[1]].Kill()
		for _, d := range daemons {
			Eventually(func() bool { return inGroups(d.CompleteGroups(testbed.SampleModel), flapping.ID) }, waitRepair, tick).Should(BeTrue())
		}
		load.stop()
		expectNoViolation(checkOf(bed))
	},
		Entry("restarting after a while", flapDown, (*testbed.Engine).Kill, (*testbed.Engine).Restart),
		Entry("restarting at once", time.Duration(0), (*testbed.Engine).Kill, (*testbed.Engine).Restart),
		Entry("paused for a while", flapDown, (*testbed.Engine).Freeze, (*testbed.Engine).Thaw),
	)
})
