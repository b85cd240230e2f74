package targetstats_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

var _ = Describe("The limit of an endpoint", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var limits *targetstats.Limits
	var limit *targetstats.Limit
	BeforeEach(func() {
		limits = targetstats.NewLimits()
		limit = limits.GetOrCreate("e", 1)
	})

	It("admits all requests while none is named, and this daemon's share from then on", func() {
		for range 100 {
			Expect(limit.Take(at(0))).To(BeTrue())
		}
		Expect(limit.Observe(2, at(0))).To(BeTrue())
		Expect(limit.Observe(2, at(10))).To(BeFalse())
		Expect(limit.Admits(at(10))).To(BeFalse())
		limits.Share([]string{"a"}, "a", at(10))
		Expect(limit.Wait(at(10))).To(Equal(500 * time.Millisecond))
		Expect(limit.Take(at(500))).To(BeFalse())
		Expect(limit.Take(at(520))).To(BeTrue())
		Expect(limit.Take(at(520))).To(BeFalse())
		Expect(limit.Take(at(9000))).To(BeTrue())
		Expect(limit.Take(at(9000))).To(BeFalse(), "nothing is saved over a pause")
	})

	It("ends with an answer that names none to a request that was sent after it was known", func() {
		limit.Observe(2, at(100))
		Expect(limit.ObserveNone(at(50), at(400))).To(BeFalse())
		Expect(limit.Admits(at(400))).To(BeFalse())
		Expect(limit.ObserveNone(at(200), at(400))).To(BeTrue())
		Expect(limit.Admits(at(400))).To(BeTrue())
	})

	It("belongs to one incarnation of the endpoint", func() {
		limit.Observe(2, at(0))
		Expect(limits.GetOrCreate("e", 2).Admits(at(0))).To(BeTrue())
	})

	It("is learnt from other daemons, and so is its end, whatever comes late or twice", func() {
		other := targetstats.NewLimits()
		limit.Observe(2, at(0))
		named := limits.Reports(at(0))
		other.Merge(named, at(100))
		theirs := other.GetOrCreate("e", 1)
		Expect(theirs.Admits(at(100))).To(BeFalse())
		theirs.ObserveNone(at(200), at(300))
		ended := other.Reports(at(300))
		limits.Merge(ended, at(400))
		other.Merge(named, at(400))
		limits.Merge(ended, at(500))
		for _, l := range []*targetstats.Limit{limit, theirs} {
			_, known := l.Named()
			Expect(known).To(BeFalse())
		}
		Expect(other.Reports(at(20_000))).To(BeEmpty())
		other.Merge(named, at(20_000))
		Expect(other.Reports(at(20_000))).To(Equal(ended), "for the daemon that has missed it")
	})

	It("is kept while it is in use or was named lately", func() {
		limit.Observe(2, at(0))
		limits.Retain(nil, at(1000))
		Expect(limits.Reports(at(1000))).To(HaveLen(1))
		limits.Retain(map[*targetstats.Limit]bool{limit: true}, at(3_600_000))
		Expect(limits.Reports(at(3_600_000))).To(HaveLen(1))
		limits.Retain(nil, at(3_600_000))
		Expect(limits.Reports(at(3_600_000))).To(BeEmpty())
	})

	DescribeTable("is shared so that all daemons together send it, and no burst exceeds what endpoints bear",
		func(perS float64, daemons, sharers int) {
			var live []string
			for i := range daemons {
				live = append(live, fmt.Sprint("n", i))
			}
			sum, sharing := 0.0, 0
			for _, self := range live {
				if rate := targetstats.LimitShare(perS, "e", live, self); rate > 0 {
					sum += rate
					sharing++
				}
			}
			Expect(sum).To(BeNumerically("~", max(perS, 0.1), 1e-9))
			Expect(sharing).To(Equal(sharers))
			Expect(float64(sharing) + 4*sum).To(BeNumerically("<=", 1.5*4*perS+5))
		},
		Entry("8 daemons, a small limit", 0.5, 8, 4),
		Entry("8 daemons", 2.7, 8, 8),
		Entry("88 daemons, a small limit", 0.5, 88, 4),
		Entry("88 daemons", 2.7, 88, 8),
		Entry("88 daemons, a large limit", 60.0, 88, 88),
		Entry("none at all", 0.0, 88, 3),
		Entry("one daemon", 2.7, 1, 1),
	)
})
