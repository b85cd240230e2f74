package admit

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	frameBytes   = 11 // around an update
	largeVersion = 1 << 24
)

var _ = DescribeTable("The pace of usage", func(daemons int, longest time.Duration) {
	pace := paceFor(daemons)
	Expect(pace.period).To(BeNumerically("<=", longest))
	Expect(pace.period).To(BeNumerically("<", peerSilent))
	update := usageUpdate{Version: largeVersion, Digest: 1 << 15, Changes: make([]byte, pace.room)}
	data, err := cbor.Marshal(update)
	Expect(err).NotTo(HaveOccurred())
	sent := float64((len(data)+frameBytes)*(daemons-1)) / pace.period.Seconds()
	Expect(sent).To(BeNumerically("<=", max(peersBudget-otherBytes*(daemons-1), leastBudget)))
},
	Entry("has nothing to send alone", 1, minPeriod),
	Entry("is the fastest among few daemons", 3, minPeriod),
	Entry("stays fast among the daemons of today", 8, 120*time.Millisecond),
	Entry("takes a part of a second among 24", 24, 500*time.Millisecond),
	Entry("takes a second at most among 47", 47, time.Second),
	Entry("never makes a daemon count as silent", 98, maxPeriod),
)
