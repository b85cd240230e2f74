package targetstats_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("A meter", func() {
	const pass = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var m *targetstats.Meter
	BeforeEach(func() {
		m = targetstats.NewMeter()
		m.SetMaxPass(pass)
		m.Begin(start)
	})
	silent := func(now time.Time) bool {
		_, silent := m.Silence(now)
		return silent
	}

	It("reports a group as silent after no event for more than its maximum pass duration", func() {
		m.ObserveEvent(at(50), 0)
		Expect(silent(at(50 + 150))).To(BeFalse())
		Expect(silent(at(50 + 200))).To(BeTrue())
		m.ObserveEvent(at(250), 0)
		Expect(silent(at(300))).To(BeFalse())
	})

	It("allows a newly used group two passes before it is silent", func() {
		Expect(silent(at(300))).To(BeFalse())
		Expect(silent(at(400))).To(BeTrue())
	})

	It("does not report a group as silent that is idle or sends events to another daemon", func() {
		m.ObserveRemoteEvent(at(390))
		Expect(silent(at(400))).To(BeFalse())
		Expect(silent(at(600))).To(BeTrue())
		m.End()
		Expect(silent(at(600))).To(BeFalse())
	})

	It("allows for the gossip delay of other daemons unless its own streams are as recent", func() {
		m.SetGossipDelay(400 * time.Millisecond)
		m.ObserveRemoteEvent(at(10))
		Expect(silent(at(10 + 400))).To(BeFalse())
		Expect(silent(at(10 + 500))).To(BeTrue())
		m.ObserveEvent(at(600), 0)
		m.ObserveRemoteEvent(at(610))
		Expect(silent(at(610 + 200))).To(BeTrue())
	})

	It("avoids a target for longer after each consecutive failure", func() {
		m.ObserveFailure(at(0))
		Expect(m.InBackoff(at(300))).To(BeTrue())
		Expect(m.InBackoff(at(500))).To(BeFalse())
		m.ObserveFailure(at(500))
		Expect(m.InBackoff(at(1200))).To(BeTrue())
		m.ObserveSuccess(at(1201))
		Expect(m.InBackoff(at(1202))).To(BeFalse())
	})

	It("ends a suspicion with the target's next event at any daemon", func() {
		m.Suspect(at(0), time.Second)
		m.ObserveRemoteEvent(at(-10)) // reported late
		Expect(m.Suspected(at(100))).To(BeTrue())
		m.ObserveRemoteEvent(at(50))
		Expect(m.Suspected(at(100))).To(BeFalse())
		m.Suspect(at(200), time.Second)
		Expect(m.Suspected(at(300))).To(BeTrue())
		Expect(m.Suspected(at(1300))).To(BeFalse())
		m.ObserveEvent(at(400), 0)
		Expect(m.Suspected(at(500))).To(BeFalse())
	})

	It("knows the gap between events only from several of late, so that one pass that reads prompts makes no group slow", func() {
		now := time.Unix(1000, 0)
		meter := targetstats.NewMeter()
		observe := func(count int, gap time.Duration) {
			for range count {
				now = now.Add(gap)
				meter.ObserveEvent(now, gap)
			}
		}
		observe(9, 300*time.Millisecond)
		Expect(meter.RecentGap(now)).To(BeZero())
		observe(1, 300*time.Millisecond)
		Expect(meter.RecentGap(now)).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
		now = now.Add(2100 * time.Millisecond)
		Expect(meter.RecentGap(now)).To(BeZero())
		observe(10, 30*time.Millisecond)
		Expect(meter.RecentGap(now)).To(BeNumerically("~", 30*time.Millisecond, time.Millisecond), "nothing is left of what was measured long ago")
	})
	It("counts the requests of all daemons", func() {
		m.SetRemoteInFlight(4)
		Expect(m.Load()).To(Equal(5))
		Expect(m.InFlight()).To(Equal(1))
	})
})

var _ = Describe("A suspicion that another daemon tells of", func() {
	now := time.Unix(1_700_000_000, 0)
	const ttl = time.Second

	It("has no effect on a target that has sent an event since", func() {
		m := targetstats.NewMeter()
		m.ObserveEvent(now, 0)
		m.SuspectSince(now.Add(-200*time.Millisecond), now.Add(ttl))
		Expect(m.Suspected(now)).To(BeFalse())
		m.SuspectSince(now.Add(-200*time.Millisecond), now.Add(2*ttl))
		Expect(m.Suspected(now)).To(BeFalse(), "nor when it is repeated")
	})

	It("holds for a target that was silent since, until it expires", func() {
		m := targetstats.NewMeter()
		m.ObserveEvent(now.Add(-300*time.Millisecond), 0)
		m.SuspectSince(now.Add(-200*time.Millisecond), now.Add(ttl))
		Expect(m.Suspected(now)).To(BeTrue())
		Expect(m.Suspected(now.Add(2 * ttl))).To(BeFalse())
	})
})
