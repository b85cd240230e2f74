package peer

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The latest reading of the clock of another daemon", func() {
	// Guards against calls that are refused as late and are not.
	It("is never earlier than its true reading, whatever the message delays", func() {
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 2))
		for range 200 {
			offset := Timestamp(random.IntN(2_000_000) - 1_000_000) // local clock minus the other one
			var clock remoteClock
			now := Timestamp(2_000_000)
			for range 50 {
				now += Timestamp(random.IntN(5000))
				there, back := Timestamp(random.IntN(3000)), Timestamp(random.IntN(3000))
				held := Timestamp(random.IntN(500))
				written := now + there + held
				clock.update(written+back, written-offset, now, held)
				now = written + back
				event := now - Timestamp(random.IntN(1000)) // on the local clock
				read, ok := clock.latest(now, event-offset)
				Expect(ok).To(BeTrue())
				Expect(read).To(BeNumerically(">=", event))
			}
		}
	})
})
