package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// outage is longer than detectionBound, so that a daemon which does not detect the
// fault violates the invariant.
const outage = 2 * detectionBound

var _ = Describe("A group that loses a member", func() {
	DescribeTable("starts no request until it is repaired", func(fault func(*testbed.Bed, *testbed.Engine)) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		members := eventuallyComplete(a, 1)[0].Members
		eventuallyComplete(b, 1)
		load := startTraffic(a, b)
		Eventually(load.answered.Load, repairTimeout, pollInterval).Should(BeNumerically(">", 20))

		// The fault hits the follower: the leader, which receives the requests,
		// would continue without it.
		fault(bed, bed.Engines[members[1]])

		time.Sleep(outage)
		eventuallyComplete(a, 1)
		eventuallyComplete(b, 1)
		before := load.answered.Load()
		Eventually(load.answered.Load, repairTimeout, pollInterval).Should(BeNumerically(">", before+20))
		load.stop()
		expectNoViolation(newCheck(bed))
	},
		Entry("killed", func(_ *testbed.Bed, member *testbed.Engine) { member.Kill() }),
		Entry("frozen for longer than the detection bound", func(_ *testbed.Bed, member *testbed.Engine) {
			member.Freeze()
			time.AfterFunc(outage, member.Thaw)
		}),
		Entry("restarted at the same address", func(_ *testbed.Bed, member *testbed.Engine) {
			member.Kill()
			member.Restart()
		}),
		Entry("reporting another group", func(bed *testbed.Bed, member *testbed.Engine) {
			report := member.Report()
			report.Group = fleet.FencingNumber(1 << 20)
			member.SetReport(report)
		}),
	)

	It("serves again as the same group when the member was paused only briefly", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, engineOptions(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]
		member := bed.Engines[first.Members[1]]
		member.Freeze()
		Eventually(func() int { return completeGroups(a) }, repairTimeout, pollInterval).Should(Equal(0))
		member.Thaw()
		Expect(eventuallyComplete(a, 1)[0].Fencing).To(Equal(first.Fencing))
	})
})
