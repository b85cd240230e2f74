package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// outage is longer than detection, so that a daemon which does not notice shows.
const outage = 2 * detection

var _ = Describe("A group that loses a member", func() {
	DescribeTable("runs nothing until it is repaired", func(fault func(*testbed.Bed, *testbed.Engine)) {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, fast(true))
		a := bed.StartDaemon(north, nil)
		b := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		members := eventuallyComplete(a, 1)[0].Members
		eventuallyComplete(b, 1)
		load := startTraffic(a, b)
		Eventually(load.answered.Load, waitRepair, tick).Should(BeNumerically(">", 20))

		// The member that is not asked itself: its leader would go on alone.
		fault(bed, bed.Engines[members[1]])

		time.Sleep(outage)
		eventuallyComplete(a, 1)
		eventuallyComplete(b, 1)
		before := load.answered.Load()
		Eventually(load.answered.Load, waitRepair, tick).Should(BeNumerically(">", before+20))
		load.stop()
		expectNoViolation(checkOf(bed))
	},
		Entry("killed", func(_ *testbed.Bed, member *testbed.Engine) { member.Kill() }),
		Entry("frozen for long", func(_ *testbed.Bed, member *testbed.Engine) {
			member.Freeze()
			time.AfterFunc(outage, member.Thaw)
		}),
		Entry("restarted under its address", func(_ *testbed.Bed, member *testbed.Engine) {
			member.Kill()
			member.Restart()
		}),
		Entry("at work for another group", func(bed *testbed.Bed, member *testbed.Engine) {
			report := member.Report()
			report.Group = fleet.FencingNumber(1 << 20)
			member.SetReport(report)
		}),
	)

	It("serves again in the same group when the member was only paused for a moment", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 3, fast(true))
		a := bed.StartDaemon(north, nil)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(a, 1)[0]
		member := bed.Engines[first.Members[1]]
		member.Freeze()
		Eventually(func() int { return complete(a) }, waitRepair, tick).Should(Equal(0))
		member.Thaw()
		Expect(eventuallyComplete(a, 1)[0].Fencing).To(Equal(first.Fencing))
	})
})
