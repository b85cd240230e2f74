package admit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("The pace of usage", func(size, daemons int, fastest time.Duration) {
	period := usagePeriod(size, daemons)
	Expect(period).To(BeNumerically("<=", fastest))
	Expect(period).To(BeNumerically("<", peerSilent))
	Expect(float64(size*(daemons-1)) / period.Seconds()).To(BeNumerically("<=", usageBudget))
},
	Entry("is the fastest among few daemons", 371, 3, minPeriod),
	Entry("keeps the bytes of 47 daemons inside the budget", 371, 47, maxPeriod),
	Entry("has nothing to send alone", 371, 1, minPeriod),
)
