package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("A round begins at a multiple of the period", func(past, want time.Duration) {
	now := time.Unix(1000, 0).Add(past)
	Expect(untilRound(now, time.Second)).To(Equal(want))
},
	Entry("after a round that began on time", time.Duration(0), time.Second),
	Entry("after a late timer", 100*time.Millisecond, 900*time.Millisecond),
	Entry("after an early timer, not at once", 999*time.Millisecond, 1001*time.Millisecond),
)
