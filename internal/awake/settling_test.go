package awake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/awake"
)

var _ = Describe("A periodic task", func() {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

	It("goes by elapsed time while it runs when it is due", func() {
		var s awake.Settling
		Expect(s.Settled(at(0), at(1))).To(BeTrue())
		Expect(s.Settled(at(60), at(60))).To(BeTrue())
		Expect(s.Settled(at(120), at(145))).To(BeTrue())
	})

	// Guards against decisions on waking, before what arrived meanwhile has been read.
	It("waits after a standstill until the process has run for a margin", func() {
		var s awake.Settling
		Expect(s.Settled(at(0), at(600))).To(BeFalse())
		Expect(s.Settled(at(620), at(620))).To(BeFalse())
		Expect(s.Settled(at(640), at(640))).To(BeTrue())
		Expect(s.Settled(at(700), at(700))).To(BeTrue())
	})

	It("waits at a run that may have missed a standstill", func() {
		var s awake.Settling
		Expect(s.Settled(time.Time{}, at(0))).To(BeFalse())
		Expect(s.Settled(at(20), at(20))).To(BeFalse())
		Expect(s.Settled(at(40), at(40))).To(BeTrue())
	})

	It("goes on in a process that stands still again and again", func() {
		var s awake.Settling
		settled := 0
		for ms := 100; ms <= 1000; ms += 100 {
			if s.Settled(at(ms-80), at(ms)) {
				settled++
			}
		}
		Expect(settled).To(Equal(3))
	})
})
