package awake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("Standstills", func() {
	const interval = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	looks := func(ms ...int) *awake.Standstills {
		s := &awake.Standstills{Interval: interval}
		for _, t := range ms {
			s.Look(at(t))
		}
		return s
	}

	It("are none while the task runs, also a little late", func() {
		s := looks(0, 100, 310)
		Expect(s.Ran(at(-500), at(500))).To(Equal(time.Second))
		Expect((&awake.Standstills{Interval: interval}).Ran(at(0), at(9000))).To(Equal(9*time.Second), "without a look")
	})

	// Guards against silence that counts on waking, before what arrived meanwhile has been read.
	It("count on waking already, before the task runs", func() {
		s := looks(0, 100)
		Expect(s.Ran(at(50), at(5200))).To(Equal(150 * time.Millisecond))
		s.Look(at(5200))
		Expect(s.Ran(at(50), at(5200))).To(Equal(150 * time.Millisecond))
		s.Look(at(5300))
		Expect(s.Ran(at(50), at(5350))).To(Equal(300 * time.Millisecond))
	})

	It("do not count for what was heard since", func() {
		s := looks(0, 5200, 5300)
		Expect(s.Stood(at(5250), at(5350))).To(BeZero())
		Expect(s.Stood(at(3200), at(5350))).To(Equal(2 * time.Second))
	})

	It("add up, and the process gets on all the same", func() {
		s := &awake.Standstills{Interval: interval}
		for t := 0; t <= 3000; t += 300 {
			s.Look(at(t))
		}
		Expect(s.Ran(at(0), at(3000))).To(Equal(time.Second))
	})

	It("are told by the look that finds them: how late a periodic task runs", func() {
		standstills := awake.Standstills{Interval: 100 * time.Millisecond}
		now := time.Unix(1000, 0)
		Expect(standstills.Look(now)).To(BeZero())
		Expect(standstills.Look(now.Add(90 * time.Millisecond))).To(BeZero())
		Expect(standstills.Look(now.Add(790 * time.Millisecond))).To(Equal(600 * time.Millisecond))
	})
})
