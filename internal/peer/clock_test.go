package peer

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The clock of another daemon", func() {
	It("is never estimated later than its true reading, whatever the message delays", func() {
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1))
		for range 200 {
			offset := Stamp(random.IntN(2_000_000) - 1_000_000) // local clock minus the other one
			var clock remoteClock
			now := Stamp(2_000_000)
			for range 50 {
				now += Stamp(random.IntN(5000))
				there, back := Stamp(random.IntN(3000)), Stamp(random.IntN(3000))
				held := Stamp(random.IntN(500))
				written := now + there + held
				clock.update(written+back, written-offset, now, held)
				now = written + back
				event := now - Stamp(random.IntN(1000)) // on the local clock
				read, ok := clock.earliest(now, event-offset)
				Expect(ok).To(BeTrue())
				Expect(read).To(BeNumerically("<=", event))
			}
		}
	})

	It("is unknown until the other daemon has echoed a stamp", func() {
		var clock remoteClock
		clock.update(100, 50, 0, 0)
		_, ok := clock.earliest(100, 50)
		Expect(ok).To(BeFalse())
	})

	It("is known to linked daemons with an error below one heartbeat interval", func() {
		nodes := startNodes(nil, "north", "north")
		awaitMesh(nodes)
		Eventually(func() bool {
			at, ok := nodes[0].Earliest("north-1", nodes[1].Stamp())
			return ok && time.Since(at) < testHeartbeat
		}, eventuallyTimeout, pollInterval).Should(BeTrue())
		at, _ := nodes[0].Earliest("north-1", nodes[1].Stamp())
		Expect(at).NotTo(BeTemporally(">", time.Now()))
	})
})
