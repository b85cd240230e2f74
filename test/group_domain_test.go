package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

var _ = Describe("A fabric domain that fails as a whole", func() {
	It("takes down only its own groups, which are formed again when it recovers", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		bed.AddEngines(north, "north-b", 2, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		first := eventuallyComplete(daemons[0], 2)
		eventuallyComplete(daemons[1], 2)
		lost, healthy := first[0], first[1]
		Expect(lost.FabricDomain).NotTo(Equal(healthy.FabricDomain))
		load := startTraffic(daemons...)

		for _, vm := range lost.Members {
			bed.Engines[vm].Kill()
		}
		Eventually(func() int { return completeGroups(daemons[0]) }, repairTimeout, pollInterval).Should(Equal(1))
		before := load.answered.Load()
		Eventually(load.answered.Load, repairTimeout, pollInterval).Should(BeNumerically(">", before+20))
		time.Sleep(outage)
		Expect(daemons[0].CompleteGroups(testbed.SampleModel)[0].Fencing).To(Equal(healthy.Fencing))

		for _, vm := range lost.Members {
			bed.Engines[vm].Restart()
		}
		fencingAfter := map[fleet.FencingNumber]bool{}
		for _, d := range daemons {
			for _, g := range eventuallyComplete(d, 2) {
				fencingAfter[g.Fencing] = true
			}
		}
		load.stop()
		Expect(fencingAfter).To(HaveKey(healthy.Fencing))
		Expect(fencingAfter).NotTo(HaveKey(lost.Fencing))
		expectNoViolation(newCheck(bed))
	})
})
