package test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

// except returns the daemons without the excluded one.
func except(daemons []*testbed.Daemon, excluded *testbed.Daemon) []*testbed.Daemon {
	var remaining []*testbed.Daemon
	for _, d := range daemons {
		if d != excluded {
			remaining = append(remaining, d)
		}
	}
	return remaining
}

var _ = Describe("While any one daemon is cut off from the log", func() {
	It("the other daemons repair the groups", func() {
		bed := testbed.New()
		bed.AddEngines(north, "north-a", 5, engineOptions(true))
		daemons := bed.StartDaemons(nil, north, north, north)
		bed.Publish(0, testbed.SampleConfig(2, north))
		for _, cut := range daemons {
			for _, d := range daemons {
				eventuallyComplete(d, 2)
				Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
			}
			cut.Latch.Cut(testbed.SideLog)
			victim := bed.Engines[eventuallyComplete(cut, 2)[0].Members[1]]
			victim.Kill()
			for _, d := range except(daemons, cut) {
				Eventually(func() bool { return inGroups(d.CompleteGroups(testbed.SampleModel), victim.ID) }, repairTimeout, pollInterval).Should(BeFalse())
				eventuallyComplete(d, 2)
			}
			victim.Restart()
			cut.Latch.Mend(testbed.SideLog)
		}
		expectNoViolation(newCheck(bed))
	})

	It("orders run through every daemon", func() {
		b := newOrderBed()
		daemons := b.StartDaemons(nil, north, north, north)
		number := 0
		allDone := func(d *testbed.Daemon) bool {
			for range 10 {
				number++
				if !placeOrder(d, fmt.Sprint("key-", number)).done() {
					return false
				}
			}
			return true
		}
		for _, cut := range daemons {
			for _, d := range daemons {
				Eventually(peerCount(d), meshTimeout, pollInterval).Should(Equal(3))
				Eventually(func() bool { return allDone(d) }, orderTimeout, orderPollInterval).Should(BeTrue())
			}
			cut.Latch.Cut(testbed.SideLog)
			for _, d := range daemons {
				Eventually(func() bool { return allDone(d) }, orderTimeout, orderPollInterval).Should(BeTrue())
			}
			cut.Latch.Mend(testbed.SideLog)
		}
		for _, run := range b.service.Runs() {
			Expect(b.service.RunsOf(run.Key)).To(Equal(1))
		}
	})
})
