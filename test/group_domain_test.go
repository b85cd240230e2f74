package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A fabric domain that goes dark at once", func() {
	It("takes its own groups only, which are formed anew when it is back", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		bed.AddEngines(north, "north-b", 2, fast(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		first := eventuallyComplete(daemons[0], 2)
		eventuallyComplete(daemons[1], 2)
		dark, lit := first[0], first[1]
		Expect(dark.FabricDomain).NotTo(Equal(lit.FabricDomain))
		load := startTraffic(daemons...)

		for _, vm := range dark.Members {
			bed.Engines[vm].Kill()
		}
		Eventually(func() int { return complete(daemons[0]) }, waitRepair, tick).Should(Equal(1))
		before := load.answered.Load()
		Eventually(load.answered.Load, waitRepair, tick).Should(BeNumerically(">", before+20))
		time.Sleep(outage)
		Expect(daemons[0].CompleteGroups(testbed.SampleModel)[0].Fencing).To(Equal(lit.Fencing))

		for _, vm := range dark.Members {
			bed.Engines[vm].Restart()
		}
		again := map[fleet.FencingNumber]bool{}
		for _, d := range daemons {
			for _, g := range eventuallyComplete(d, 2) {
				again[g.Fencing] = true
			}
		}
		load.stop()
		Expect(again).To(HaveKey(lit.Fencing))
		Expect(again).NotTo(HaveKey(dark.Fencing))
		expectNoViolation(checkOf(bed))
	})
})
