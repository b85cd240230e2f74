package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// lastStart returns the time at which a leader started the last request of a
// group, zero if it started none.
func lastStart(engine *testbed.Engine, group fleet.FencingNumber) time.Time {
	var last time.Time
	for _, event := range engine.Events() {
		if event.Kind == fakes.EventStart && event.Group == group {
			last = event.At
		}
	}
	return last
}

var _ = Describe("A VM that is leaving", func() {
	It("gets no new requests soon after one daemon knows, although the other daemons cannot read the VM list", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		var first fleet.Group
		for _, d := range daemons {
			first = eventuallyComplete(d, 1)[0]
			Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(len(daemons)))
		}
		for _, d := range daemons[1:] {
			d.Latch.Cut(testbed.SideVMs)
		}
		loads := []*traffic{startTraffic(daemons[0]), startTraffic(daemons[1]), startTraffic(daemons[2])}
		leader := bed.Engines[first.Leader()]
		Eventually(func() bool { return !lastStart(leader, first.Fencing).IsZero() }, repairTimeout, pollInterval).Should(BeTrue())

		leavingVM := bed.Engines[first.Members[1]].VM(north, "north-a")
		leavingVM.Leaving = true
		listedAt := time.Now()
		bed.VMList.Put(leavingVM)
		time.Sleep(2 * leavingBound)
		for _, load := range loads {
			load.stop()
		}
		delay := lastStart(leader, first.Fencing).Sub(listedAt)
		GinkgoWriter.Printf("last new request started %s after the VM list changed\n", delay)
		Expect(delay).To(BeNumerically("<", leavingBound))
		for _, d := range daemons {
			Expect(d.CompleteGroups(testbed.SampleModel)).NotTo(ContainElement(HaveField("Fencing", first.Fencing)))
		}
	})

	It("is used again when the VM list no longer says that it is leaving", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(daemons[0], 1)[0]
		engine := bed.Engines[first.Members[1]]
		wrongEntry := engine.VM(north, "north-a")
		wrongEntry.Leaving = true
		bed.VMList.Put(wrongEntry)
		for _, d := range daemons {
			eventuallyComplete(d, 0)
		}
		bed.VMList.Put(engine.VM(north, "north-a"))
		for _, d := range daemons {
			eventuallyComplete(d, 1)
		}
	})
})
