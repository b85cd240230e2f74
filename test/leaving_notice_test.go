package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// lastStart returns when the last request of a group began on a leader.
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
	It("gets no new work soon after one daemon knows, though the others' lists are late", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 4, fast(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		var first fleet.Group
		for _, d := range daemons {
			first = eventuallyComplete(d, 1)[0]
			Eventually(peersOf(d), waitMesh, tick).Should(Equal(len(daemons)))
		}
		for _, d := range daemons[1:] {
			d.Latch.Cut(testbed.SideVMs)
		}
		loads := []*traffic{startTraffic(daemons[0]), startTraffic(daemons[1]), startTraffic(daemons[2])}
		leader := bed.Engines[first.Leader()]
		Eventually(func() bool { return !lastStart(leader, first.Fencing).IsZero() }, waitRepair, tick).Should(BeTrue())

		going := bed.Engines[first.Members[1]].VM(north, "north-a")
		going.Leaving = true
		noticed := time.Now()
		bed.VMList.Put(going)
		time.Sleep(2 * leavingBound)
		for _, load := range loads {
			load.stop()
		}
		delay := lastStart(leader, first.Fencing).Sub(noticed)
		GinkgoWriter.Printf("last new request %s after the list changed\n", delay)
		Expect(delay).To(BeNumerically("<", leavingBound))
		for _, d := range daemons {
			Expect(d.CompleteGroups(testbed.SampleModel)).NotTo(ContainElement(HaveField("Fencing", first.Fencing)))
		}
	})

	It("is taken back when the list was wrong", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 2, fast(true))
		daemons := bed.StartDaemons(nil, north, north)
		bed.Publish(0, testbed.SampleConfig(1, north))
		first := eventuallyComplete(daemons[0], 1)[0]
		engine := bed.Engines[first.Members[1]]
		wrong := engine.VM(north, "north-a")
		wrong.Leaving = true
		bed.VMList.Put(wrong)
		for _, d := range daemons {
			eventuallyComplete(d, 0)
		}
		bed.VMList.Put(engine.VM(north, "north-a"))
		for _, d := range daemons {
			eventuallyComplete(d, 1)
		}
	})
})
