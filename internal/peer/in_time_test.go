package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// clockedLink returns a link of a daemon whose clock shows an hour and a bit.
func clockedLink() *link {
	l := &link{network: &Network{clocks: newClocks()}, clock: &remoteClock{}}
	l.network.clocks.start = time.Now().Add(-time.Hour)
	return l
}

var _ = Describe("The time within which a call may begin", func() {
	const ms = time.Millisecond
	valid := Timestamp(maxTransit / ms)

	// Guards against refusing all calls on a link whose first clock frame was read late, by a process that stood still.
	It("is not over when a call arrives at once and the only clock frame waited unread", func() {
		l := clockedLink()
		now := l.network.clocks.now()
		const other, waited = Timestamp(50_000), Timestamp(500)
		l.clock.update(now, other, now-waited, 0)
		Expect(l.late(frame{Kind: frameOpen, Sent: other, Valid: valid})).To(BeFalse())
	})

	// Guards against calls that begin long after they were given up, at a daemon whose clock stood for a time.
	It("is over when a call waited for long and this machine was suspended earlier", func() {
		l := clockedLink()
		now := l.network.clocks.now()
		const other, suspended = Timestamp(50_000), Timestamp(1000)
		l.clock.update(now-20_000, other-20_000-suspended, now-20_000, 0)
		for since := Timestamp(15_000); since > 0; since -= 2000 { // exact samples since the suspension
			l.clock.update(now-since, other-since, now-since, 0)
		}
		Expect(l.late(frame{Kind: frameOpen, Sent: other - valid - 300, Valid: valid})).To(BeTrue())
	})
})
