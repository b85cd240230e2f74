package admit

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	frameBytes   = 11 // size of the frame around an update
	largeVersion = 1 << 24
)

var _ = DescribeTable("The schedule of usage updates", func(daemons int, longest time.Duration) {
	schedule := scheduleFor(daemons)
	Expect(schedule.period).To(BeNumerically("<=", longest))
	Expect(schedule.period).To(BeNumerically("<", peerTimeout))
	update := usageUpdate{Version: largeVersion, Digest: 1 << 15, Changes: make([]byte, schedule.room)}
	data, err := cbor.Marshal(update)
	Expect(err).NotTo(HaveOccurred())
	sent := float64((len(data)+frameBytes)*(daemons-1)) / schedule.period.Seconds()
	Expect(sent).To(BeNumerically("<=", max(peersBudgetPerS-otherBytesPerPeer*(daemons-1), minBudgetPerS)))
},
	Entry("has the minimum period without peers", 1, minPeriod),
	Entry("has the minimum period with 3 daemons", 3, minPeriod),
	Entry("stays within 120 ms with 8 daemons", 8, 120*time.Millisecond),
	Entry("stays within 500 ms with 24 daemons", 24, 500*time.Millisecond),
	Entry("stays within 1 s with 47 daemons", 47, time.Second),
	Entry("stays below the peer timeout with 98 daemons", 98, maxPeriod),
)
