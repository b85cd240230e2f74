package demand_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/demand"
)

var _ = Describe("A demand counter", func() {
	start := time.Unix(1000, 0)

	// observe counts requests at an even rate up to a time.
	observe := func(c *demand.Counter, perS int, output int, from, to time.Duration) {
		for at := from; at < to; at += time.Second / time.Duration(perS) {
			c.Observe("s", "m", 1, 700, output, start.Add(at))
		}
	}

	It("reports the rates of the last 2 s, and nothing of what is older", func() {
		c := &demand.Counter{}
		Expect(c.Reports(start)).To(BeEmpty())
		observe(c, 20, 150, 0, 10*time.Second)
		observe(c, 100, 150, 10*time.Second, 13*time.Second)
		total := demand.TotalOf(c.Reports(start.Add(13*time.Second)), "s", "m")
		Expect(total.RequestsPerS).To(BeNumerically("~", 100, 2))
		Expect(total.PromptTokensPerS).To(BeNumerically("~", 70_000, 1400))
		Expect(total.OutputTokensPerS).To(BeNumerically("~", 15_000, 300))
		Expect(total.ByPriority).To(HaveKeyWithValue(1, BeNumerically("~", 100, 2)))
		Expect(c.Reports(start.Add(16 * time.Second))).To(BeEmpty())
	})

	It("counts teams by model and priority over the same time, and tells other daemons nothing of them", func() {
		c := &demand.Counter{}
		Expect(c.Teams("s", "m", 1, start)).To(BeEmpty())
		for i := range 40 {
			c.ObserveTeam("s", "m", 1, []string{"a", "a", "a", "b"}[i%4], start.Add(time.Duration(i)*100*time.Millisecond))
		}
		c.ObserveTeam("s", "m", 0, "c", start.Add(4*time.Second))
		teams := c.Teams("s", "m", 1, start.Add(4*time.Second))
		Expect(teams).To(And(HaveLen(2), HaveKeyWithValue("a", BeNumerically("~", 15, 2)), HaveKeyWithValue("b", BeNumerically("~", 5, 1))))
		Expect(c.Teams("s", "m", 1, start.Add(7*time.Second))).To(BeEmpty())
		Expect(c.Reports(start.Add(4 * time.Second))).To(BeEmpty())
	})

	It("does not report a quarter of a second late or early what begins or ends within an interval", func() {
		c := &demand.Counter{}
		observe(c, 40, 0, 0, 5*time.Second+110*time.Millisecond)
		Expect(demand.TotalOf(c.Reports(start.Add(5*time.Second+110*time.Millisecond)), "s", "m").RequestsPerS).To(BeNumerically("~", 40, 1))
	})

	It("counts requests of unknown output length with the mean of the others", func() {
		c := &demand.Counter{}
		observe(c, 10, 100, 0, 3*time.Second)
		observe(c, 30, 0, 0, 3*time.Second)
		total := demand.TotalOf(c.Reports(start.Add(3*time.Second)), "s", "m")
		Expect(total.OutputTokensPerS / total.RequestsPerS).To(BeNumerically("~", 100, 0.01))
	})

	It("keeps services, models and priorities apart", func() {
		c := &demand.Counter{}
		c.Observe("s", "m", 0, 1, 1, start)
		c.Observe("s", "m", 999, 1, 1, start)
		c.Observe("s", "n", -1, 1, 1, start)
		c.Observe("sm", "", 0, 1, 1, start)
		reports := c.Reports(start)
		Expect(reports).To(HaveLen(4))
		Expect(demand.TotalOf(reports, "s", "m").ByPriority).To(And(HaveLen(2), HaveKey(0), HaveKey(255)))
		Expect(demand.TotalOf(reports, "s", "other").RequestsPerS).To(BeZero())
	})
})

var _ = Describe("Demand reports", func() {
	a := []demand.Report{{Key: 1, RequestsPerS: 10, PromptTokensPerS: 100, OutputTokensPerS: 1000}, {Key: 2, RequestsPerS: 1}}
	b := []demand.Report{{Key: 1, RequestsPerS: 5, PromptTokensPerS: 50}, {Key: 1, Priority: 3, RequestsPerS: 7}}

	It("add up by model and priority", func() {
		Expect(demand.Sum(a, b)).To(Equal([]demand.Report{
			{Key: 1, RequestsPerS: 15, PromptTokensPerS: 150, OutputTokensPerS: 1500},
			{Key: 1, Priority: 3, RequestsPerS: 7},
			{Key: 2, RequestsPerS: 1},
		}))
		Expect(demand.Sum()).To(BeNil(), "a message without demand carries no field")
	})

	It("take at most 24 bytes each in a message", func() {
		data, err := cbor.Marshal(demand.Report{Key: 0xffffffff, Priority: 255, RequestsPerS: 0.1, PromptTokensPerS: 0.1, OutputTokensPerS: 0.1})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", 24))
	})
})
