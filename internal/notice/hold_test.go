package notice_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/notice"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notice")
}

var _ = Describe("The time for which an endpoint holds off a daemon", func() {
	It("is a decimal number of seconds", func() {
		Expect(notice.ParseHold("1.25")).To(Equal(1250 * time.Millisecond))
		Expect(notice.ParseHold("3")).To(Equal(3 * time.Second))
	})

	DescribeTable("is ignored with a reason if it is unusable", func(value string, reason notice.HoldReason) {
		_, err := notice.ParseHold(value)
		var invalid *notice.InvalidHoldError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Reason).To(Equal(reason))
	},
		Entry("a date", "Fri, 04 Dec 2026 09:00:00 GMT", notice.NotANumber),
		Entry("no number", "NaN", notice.NotANumber),
		Entry("zero", "0", notice.NotPositive),
		Entry("negative", "-2", notice.NotPositive),
		Entry("absurd", "1e9", notice.TooLong),
		Entry("infinite", "+Inf", notice.TooLong),
	)
})

var _ = Describe("The limit that an endpoint names", func() {
	It("is a decimal number of requests a second", func() {
		Expect(notice.ParseLimit("2.5")).To(Equal(2.5))
		Expect(notice.ParseLimit("0")).To(Equal(0.0))
	})

	DescribeTable("is ignored with a reason if it is unusable", func(value string, reason notice.LimitReason) {
		_, err := notice.ParseLimit(value)
		var invalid *notice.InvalidLimitError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Reason).To(Equal(reason))
	},
		Entry("a word", "many", notice.LimitNotANumber),
		Entry("no number", "NaN", notice.LimitNotANumber),
		Entry("negative", "-1", notice.Negative),
		Entry("infinite", "+Inf", notice.TooLarge),
	)
})
