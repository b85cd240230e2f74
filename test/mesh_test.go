package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

const waitMesh = 10 * time.Second

// peersOf returns how many daemons of its data centre a daemon can reach, the
// own one included.
func peersOf(d *testbed.Daemon) func() int {
	return func() int {
		status, err := d.Status()
		if err != nil {
			return -1
		}
		return len(status.Peers)
	}
}

var _ = Describe("The daemons of a data centre", func() {
	It("see each other, and a cut one until it is back", func() {
		bed := testbed.New()
		daemons := bed.StartDaemons(nil, "north", "north", "north")
		for _, d := range daemons {
			Eventually(peersOf(d), waitMesh, 20*time.Millisecond).Should(Equal(3))
		}
		daemons[0].Latch.Cut(testbed.SidePeers)
		Eventually(peersOf(daemons[0]), waitMesh, 20*time.Millisecond).Should(Equal(1))
		Eventually(peersOf(daemons[1]), waitMesh, 20*time.Millisecond).Should(Equal(2))
		daemons[0].Latch.Mend(testbed.SidePeers)
		for _, d := range daemons {
			Eventually(peersOf(d), waitMesh, 20*time.Millisecond).Should(Equal(3))
		}
	})

	It("see a killed one go and its replacement come", func() {
		bed := testbed.New()
		daemons := bed.StartDaemons(nil, "north", "north")
		Eventually(peersOf(daemons[1]), waitMesh, 20*time.Millisecond).Should(Equal(2))
		daemons[0].Kill()
		Eventually(peersOf(daemons[1]), waitMesh, 20*time.Millisecond).Should(Equal(1))
		bed.Replace(daemons[0])
		Eventually(peersOf(daemons[1]), waitMesh, 20*time.Millisecond).Should(Equal(2))
	})
})
