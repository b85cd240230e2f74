package targetstats_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// names returns the names of daemons.
func names(count int) []string {
	var found []string
	for i := range count {
		found = append(found, fmt.Sprint("n", i))
	}
	return found
}

var _ = Describe("The share policy", func() {
	cold := targetstats.SharePolicy{PerS: 23, Window: time.Second, Overshoot: 1.5, Slack: 5}

	DescribeTable("lets as many daemons share a limit as stay within it without word of each other, and at least one",
		func(policy targetstats.SharePolicy, sharers int) { Expect(policy.Sharers()).To(Equal(sharers)) },
		Entry("the figures of the cold endpoints", cold, 14),
		Entry("a limit that an endpoint names", targetstats.SharePolicy{PerS: 2.7, Window: 4 * time.Second, Overshoot: 1.5, Slack: 5}, 8),
		Entry("no room at all", targetstats.SharePolicy{PerS: 23, Window: time.Second, Overshoot: 1, Slack: 0}, 1),
		Entry("less than the limit itself", targetstats.SharePolicy{PerS: 23, Window: time.Second, Overshoot: 0.5, Slack: 1}, 1),
	)

	DescribeTable("divides the limit among them", func(daemons int) {
		all := names(daemons)
		sum, sharing := 0.0, 0
		for _, self := range all {
			if rate := cold.Rate("e", all, len(all), self); rate > 0 {
				sum += rate
				sharing++
			}
		}
		Expect(sharing).To(Equal(min(daemons, 14)))
		Expect(sum).To(BeNumerically("~", 23, 1e-9))
	}, Entry("7 daemons", 7), Entry("35 daemons", 35), Entry("86 daemons", 86), Entry("300 daemons", 300))

	// A daemon in a long partition counts itself alone and must be no more than one more sharer.
	It("does not raise the rate of a daemon that counts few candidates but knew more", func() {
		Expect(cold.Rate("e", names(1), 86, "n0")).To(Equal(23.0 / 14))
		Expect(cold.Rate("e", names(3), 7, "n0")).To(Equal(23.0 / 7))
	})

	It("gives nothing to a daemon that knows of no candidates or is none", func() {
		Expect(cold.Rate("e", nil, 86, "n0")).To(BeZero())
		Expect(cold.Rate("e", names(3), 7, "n9")).To(BeZero())
	})
})
