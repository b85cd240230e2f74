package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

var _ = Describe("The capacity of a group", func() {
	farm := catalog.PerformanceModel{
		Slots: 48, StepsPerPass: 5, PrefillChunkTokens: 2048, StepDuration: 6450 * time.Microsecond, PerRequest: 96700 * time.Nanosecond,
		PrefillTokensPerSecond: 56_100, MeanPromptTokens: 714, MeanOutputTokens: 150,
	}
	small := &catalog.Model{Name: "small", GroupSize: 6, StepTimeFactor: 0.6}
	large := &catalog.Model{Name: "large", GroupSize: 12, StepTimeFactor: 1}

	It("is that of the design page", func() {
		Expect(farm.GroupCapacity(small, 714, 150)).To(BeNumerically("~", 35, 0.5))
		Expect(farm.GroupCapacity(large, 1460, 150)).To(BeNumerically("~", 17, 0.7))
	})

	It("uses the published mean for what is not known", func() {
		Expect(farm.GroupCapacity(small, 0, 0)).To(Equal(farm.GroupCapacity(small, 714, 150)))
	})

	It("does not exceed one batch per pass for short answers", func() {
		Expect(farm.GroupCapacity(small, 714, 1)).To(Equal(farm.GroupCapacity(small, 714, 5)))
	})

	It("falls with the context where the platform publishes its cost", func() {
		slower := farm
		slower.PerThousandContextTokens = 20 * time.Microsecond
		Expect(slower.GroupCapacity(large, 1460, 150)).To(BeNumerically("<", farm.GroupCapacity(large, 1460, 150)))
	})

	It("is not known without published figures, so that nothing divides by it", func() {
		Expect((&catalog.PerformanceModel{}).GroupCapacity(small, 714, 150)).To(BeZero())
		Expect((&catalog.PerformanceModel{Slots: 48, MeanOutputTokens: 150}).GroupCapacity(small, 714, 150)).To(BeZero())
	})
})
