package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

const meshTimeout = 10 * time.Second

// peerCount returns a function that reports how many daemons of its data centre
// a daemon can reach, itself included, or -1 if its status is unavailable.
func peerCount(d *testbed.Daemon) func() int {
	return func() int {
		status, err := d.Status()
		if err != nil {
			return -1
		}
		return len(status.Peers)
	}
}

var _ = Describe("The daemons of a data centre", func() {
	It("reach each other, drop one that is cut off, and reach it again once it is reconnected", func() {
		bed := testbed.New()
		daemons := bed.StartDaemons(nil, "north", "north", "north")
		for _, d := range daemons {
			Eventually(peerCount(d), meshTimeout, 20*time.Millisecond).Should(Equal(3))
		}
		daemons[0].Latch.Cut(testbed.SidePeers)
		Eventually(peerCount(daemons[0]), meshTimeout, 20*time.Millisecond).Should(Equal(1))
		Eventually(peerCount(daemons[1]), meshTimeout, 20*time.Millisecond).Should(Equal(2))
		daemons[0].Latch.Mend(testbed.SidePeers)
		for _, d := range daemons {
			Eventually(peerCount(d), meshTimeout, 20*time.Millisecond).Should(Equal(3))
		}
	})

	It("drop a killed daemon and connect to its replacement", func() {
		bed := testbed.New()
		daemons := bed.StartDaemons(nil, "north", "north")
		Eventually(peerCount(daemons[1]), meshTimeout, 20*time.Millisecond).Should(Equal(2))
		daemons[0].Kill()
		Eventually(peerCount(daemons[1]), meshTimeout, 20*time.Millisecond).Should(Equal(1))
		bed.Replace(daemons[0])
		Eventually(peerCount(daemons[1]), meshTimeout, 20*time.Millisecond).Should(Equal(2))
	})
})
