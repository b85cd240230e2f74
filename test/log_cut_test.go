package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

// others returns the daemons but one.
func others(daemons []*testbed.Daemon, but *testbed.Daemon) []*testbed.Daemon {
	var rest []*testbed.Daemon
	for _, d := range daemons {
		if d != but {
			rest = append(rest, d)
		}
	}
	return rest
}

var _ = Describe("While one daemon alone is cut off from the log, whichever it is", func() {
	It("the others repair the groups", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, fast(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		for _, cut := range daemons {
			for _, d := range daemons {
				eventuallyComplete(d, 2)
				Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
			}
			cut.Latch.Cut(testbed.SideLog)
			victim := bed.Engines[eventuallyComplete(cut, 2)[0].Members[1]]
			victim.Kill()
			for _, d := range others(daemons, cut) {
				Eventually(func() bool { return inGroups(d.CompleteGroups(testbed.SampleModel), victim.ID) }, waitRepair, tick).Should(BeFalse())
				eventuallyComplete(d, 2)
			}
			victim.Restart()
			cut.Latch.Mend(testbed.SideLog)
		}
		expectNoViolation(checkOf(bed))
	})

	It("orders run through every daemon", func() {
		b := newOrderBed()
		daemons := b.StartDaemons(nil, north, north, north)
		number := 0
		allRun := func(d *testbed.Daemon) bool {
			for range 10 {
				number++
				if !place(d, fmt.Sprint("key-", number)).done() {
					return false
				}
			}
			return true
		}
		for _, cut := range daemons {
			for _, d := range daemons {
				Eventually(peersOf(d), waitMesh, tick).Should(Equal(3))
				Eventually(func() bool { return allRun(d) }, waitOrders, orderPoll).Should(BeTrue())
			}
			cut.Latch.Cut(testbed.SideLog)
			for _, d := range daemons {
				Eventually(func() bool { return allRun(d) }, waitOrders, orderPoll).Should(BeTrue())
			}
			cut.Latch.Mend(testbed.SideLog)
		}
		for _, run := range b.service.Runs() {
			Expect(b.service.RunsOf(run.Key)).To(Equal(1))
		}
	})
})
