package relay

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
)

var _ = DescribeTable("The sequence of an attempt whose next expected frame is 3",
	func(attempt string, index int, want metric.FrameFault) {
		due := sequence{attempt: "a.1", next: 3}
		Expect(due.check(endpoint.Frame{Attempt: attempt, Index: index})).To(Equal(want))
		Expect(due.next).To(Equal(3))
	},
	Entry("accepts the expected frame", "a.1", 3, noFault),
	Entry("drops a duplicate frame", "a.1", 2, metric.Duplicate),
	Entry("detects a gap", "a.1", 4, metric.Gap),
	Entry("drops another attempt's frame with the expected index", "a.2", 3, metric.OtherAttempt),
	Entry("drops another attempt's frame with a later index", "b.1", 9, metric.OtherAttempt),
	Entry("drops a frame without an attempt", "", 3, metric.OtherAttempt),
)
