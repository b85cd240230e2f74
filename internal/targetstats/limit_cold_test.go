package targetstats_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("The limit of a cold endpoint", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var limits *targetstats.Limits
	var limit *targetstats.Limit
	BeforeEach(func() {
		limits = targetstats.NewLimits()
		limit = limits.GetOrCreate("e", 1)
	})

	// A daemon that restarts or has not read the registrations must not send what others may send.
	It("admits nothing without a share, then one request at a time from an empty bucket, and all once warm", func() {
		Expect(limit.MarkCold(at(3000), at(0))).To(BeTrue())
		Expect(limit.MarkCold(at(2000), at(10))).To(BeFalse(), "an earlier end is older news")
		Expect(limit.Take(at(900))).To(BeFalse())
		Expect(limit.Wait(at(1000))).To(Equal(2 * time.Second))
		limit.SetColdShare(2, at(1000))
		Expect(limit.Take(at(1000))).To(BeFalse())
		Expect(limit.Wait(at(1000))).To(Equal(500 * time.Millisecond))
		Expect(limit.Take(at(1510))).To(BeTrue())
		Expect(limit.Take(at(1510))).To(BeFalse())
		Expect(limit.Take(at(2900))).To(BeTrue())
		Expect(limit.Take(at(2900))).To(BeFalse(), "nothing is saved")
		Expect(limit.Wait(at(2990))).To(Equal(10*time.Millisecond), "it is warm before there is a token")
		Expect(limit.Take(at(3000))).To(BeTrue())
		Expect(limit.Cold(at(3000))).To(BeFalse())
		Expect(limits.ColdSkips()).To(BeNumerically(">", 0))
	})

	It("starts with an empty bucket each time the endpoint turns cold", func() {
		limit.MarkCold(at(1000), at(0))
		limit.SetColdShare(2, at(0))
		Expect(limit.Admits(at(900))).To(BeTrue())
		Expect(limit.MarkCold(at(5000), at(2000))).To(BeTrue())
		limit.SetColdShare(2, at(2000))
		Expect(limit.Admits(at(2000))).To(BeFalse())
		Expect(limit.MarkCold(at(6000), at(2000))).To(BeFalse())
		Expect(limit.Cold(at(5999))).To(BeTrue())
	})

	It("and the limit that the endpoint names must both admit, and neither loses a token to the other's refusal", func() {
		limit.Observe(1, at(0))
		limits.Share([]string{"n"}, "n", at(0))
		limit.MarkCold(at(60_000), at(0))
		limit.SetColdShare(0.5, at(0))
		Expect(limit.Take(at(1100))).To(BeFalse(), "no token of the cold limit yet")
		Expect(limit.Take(at(2010))).To(BeTrue())
		Expect(limit.Take(at(3100))).To(BeFalse())
		Expect(limit.Wait(at(3100))).To(BeNumerically("~", 910*time.Millisecond, 20*time.Millisecond))
		Expect(limit.Take(at(4100))).To(BeTrue())
	})

	// A head of a group that is still being opened is in no view yet.
	It("is kept while no target uses it", func() {
		limit.MarkCold(at(3000), at(0))
		limits.Retain(nil, at(2000))
		Expect(limits.GetOrCreate("e", 1).Cold(at(2000))).To(BeTrue())
	})

	It("counts no time twice when goroutines ask with times that are out of order", func() {
		limit.MarkCold(at(3000), at(0))
		limit.SetColdShare(1, at(0))
		for range 10 {
			Expect(limit.Admits(at(200))).To(BeFalse())
			Expect(limit.Admits(at(0))).To(BeFalse())
		}
	})

	It("does not concern the next incarnation, nor a target without a limit", func() {
		limit.MarkCold(at(3000), at(0))
		Expect(limits.GetOrCreate("e", 2).Admits(at(10))).To(BeTrue())
		var none *targetstats.Limit
		Expect(none.SkipIfCold(at(10))).To(BeFalse())
	})
})
