package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("A round begins at a whole period", func(past, want time.Duration) {
	now := time.Unix(1000, 0).Add(past)
	Expect(untilRound(now, time.Second)).To(Equal(want))
},
	Entry("after one", time.Duration(0), time.Second),
	Entry("when the timer was late", 100*time.Millisecond, 900*time.Millisecond),
	Entry("not at once when the timer was early", 999*time.Millisecond, 1001*time.Millisecond),
)
