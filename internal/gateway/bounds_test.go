package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The long poll of the operators' topic", func() {
	evacuation := 5000
	// Guards against a poll that is not woken and outlasts the time within which a change must be in force.
	DescribeTable("ends within half of the shorter bound", func(bounds Bounds, wait time.Duration) {
		Expect(bounds.configWait()).To(Equal(wait))
	},
		Entry("without bounds", Bounds{}, longPollWait),
		Entry("of the configuration", Bounds{ConfigurationMS: 2000, EvacuationMS: &evacuation}, time.Second),
		Entry("of evacuations", Bounds{ConfigurationMS: 9000, EvacuationMS: &evacuation}, 2500*time.Millisecond),
		Entry("of evacuations alone", Bounds{EvacuationMS: &evacuation}, 2500*time.Millisecond),
	)
})
