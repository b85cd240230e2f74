package notice_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/notice"
)

var _ = Describe("The time for which an endpoint stays cold", func() {
	It("is a decimal number of milliseconds", func() {
		Expect(notice.ParseCold("1250.5")).To(Equal(1250500 * time.Microsecond))
		Expect(notice.ParseCold("0")).To(Equal(time.Duration(0)))
	})

	// An endpoint that was held cold by a mistake would be lost to the daemons.
	DescribeTable("is ignored with a reason if it is unusable", func(value string, reason notice.ColdReason) {
		_, err := notice.ParseCold(value)
		var invalid *notice.InvalidColdError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Reason).To(Equal(reason))
	},
		Entry("a word", "long", notice.ColdNotANumber),
		Entry("no number", "NaN", notice.ColdNotANumber),
		Entry("negative", "-1", notice.ColdNegative),
		Entry("above an hour", "3600001", notice.ColdTooLong),
		Entry("infinite", "+Inf", notice.ColdTooLong),
	)
})
