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
	flapCount    = 8
	flapDown     = 900 * time.Millisecond // above the report bound of a test bed, below the time after which a member counts as lost
	flapUp       = 700 * time.Millisecond
	maxFlapForms = 4 // group formations; a flapping VM is recognised by its third outage at the latest
)

func inGroups(groups []fleet.Group, vm fleet.VMID) bool {
	return slices.ContainsFunc(groups, func(g fleet.Group) bool { return slices.Contains(g.Members, vm) })
}

var _ = Describe("A member that fails and recovers repeatedly", func() {
	DescribeTable("is left out of groups while other VMs are free, and used again when no other is", func(down time.Duration, fail, restore func(*testbed.Engine)) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		var groups []fleet.Group
		for _, d := range daemons {
			groups = eventuallyComplete(d, 2)
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(2))
		}
		flapping, neighbour := bed.Engines[groups[0].Members[1]], groups[1]
		load := startTraffic(daemons...)
		Eventually(load.answered.Load, repairTimeout, pollInterval).Should(BeNumerically(">", 20))
		for range flapCount {
			fail(flapping)
			time.Sleep(down)
			restore(flapping)
			time.Sleep(flapUp)
		}
		Expect(load.failed.Load()).To(BeZero())
		formed := ledger(bed).GrantedGroups()
		GinkgoWriter.Printf("%d group formations after %d failures\n", formed-2, flapCount)
		Expect(formed).To(BeNumerically("<=", 2+maxFlapForms))
		for _, d := range daemons {
			groups = eventuallyComplete(d, 2)
			Expect(inGroups(groups, flapping.ID)).To(BeFalse())
			Expect(groups).To(ContainElement(neighbour))
		}

		repaired := slices.IndexFunc(groups, func(g fleet.Group) bool { return g.Fencing != neighbour.Fencing })
		bed.Engines[groups[repaired].Members[1]].Kill()
		for _, d := range daemons {
			Eventually(func() bool { return inGroups(d.CompleteGroups(testbed.SampleModel), flapping.ID) }, repairTimeout, pollInterval).Should(BeTrue())
		}
		load.stop()
		expectNoViolation(newCheck(bed))
	},
		Entry("restarted after a delay", flapDown, (*testbed.Engine).Kill, (*testbed.Engine).Restart),
		Entry("restarted immediately", time.Duration(0), (*testbed.Engine).Kill, (*testbed.Engine).Restart),
		Entry("paused and resumed", flapDown, (*testbed.Engine).Freeze, (*testbed.Engine).Thaw),
	)
})
