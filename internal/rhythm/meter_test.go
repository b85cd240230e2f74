package rhythm_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/rhythm"
)

var _ = Describe("A meter", func() {
	const pass = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var m *rhythm.Meter
	BeforeEach(func() {
		m = rhythm.NewMeter()
		m.SetPass(pass)
		m.Begin(start)
	})
	silent := func(now time.Time) bool {
		_, silent := m.Silence(now)
		return silent
	}

	It("reports a group as silent after no event for more than its maximum pass duration", func() {
		m.Event(at(50), 0)
		Expect(silent(at(50 + 150))).To(BeFalse())
		Expect(silent(at(50 + 200))).To(BeTrue())
		m.Event(at(250), 0)
		Expect(silent(at(300))).To(BeFalse())
	})

	It("allows a newly used group two passes before it is silent", func() {
		Expect(silent(at(300))).To(BeFalse())
		Expect(silent(at(400))).To(BeTrue())
	})

	It("does not report a group as silent that is idle or sends events to another daemon", func() {
		m.EventElsewhere(at(390))
		Expect(silent(at(400))).To(BeFalse())
		Expect(silent(at(600))).To(BeTrue())
		m.End()
		Expect(silent(at(600))).To(BeFalse())
	})

	It("allows for the report delay of other daemons unless its own streams are as recent", func() {
		m.SetDelay(400 * time.Millisecond)
		m.EventElsewhere(at(10))
		Expect(silent(at(10 + 400))).To(BeFalse())
		Expect(silent(at(10 + 500))).To(BeTrue())
		m.Event(at(600), 0)
		m.EventElsewhere(at(610))
		Expect(silent(at(610 + 200))).To(BeTrue())
	})

	It("avoids a target for longer after each consecutive failure", func() {
		m.Fail(at(0))
		Expect(m.Avoid(at(300))).To(BeTrue())
		Expect(m.Avoid(at(500))).To(BeFalse())
		m.Fail(at(500))
		Expect(m.Avoid(at(1200))).To(BeTrue())
		m.Succeed(at(1201))
		Expect(m.Avoid(at(1202))).To(BeFalse())
	})

	It("ends a suspicion with the target's next event at any daemon", func() {
		m.Suspect(at(0), time.Second)
		m.EventElsewhere(at(-10)) // reported late
		Expect(m.Suspected(at(100))).To(BeTrue())
		m.EventElsewhere(at(50))
		Expect(m.Suspected(at(100))).To(BeFalse())
		m.Suspect(at(200), time.Second)
		Expect(m.Suspected(at(300))).To(BeTrue())
		Expect(m.Suspected(at(1300))).To(BeFalse())
		m.Event(at(400), 0)
		Expect(m.Suspected(at(500))).To(BeFalse())
	})

	It("counts the requests of all daemons", func() {
		m.SetElsewhere(4)
		Expect(m.Load()).To(Equal(5))
		Expect(m.InFlight()).To(Equal(1))
	})
})
