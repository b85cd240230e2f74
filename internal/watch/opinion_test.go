package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

var _ = Describe("An opinion", func() {
	It("goes by the newest poll, whichever is told last", func() {
		at := func(second int64) time.Time { return time.Unix(second, 0) }
		seen := func(second int64, boot fleet.BootID) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm", Boot: boot}, At: at(second)}
		}
		var o opinion
		Expect(o.succeed(seen(20, "new"), at(30))).To(BeTrue())
		Expect(o.succeed(seen(10, "old"), at(31))).To(BeFalse())
		Expect(o.fail(at(15), at(32))).To(BeFalse())
		Expect(o.seen.Report.Boot).To(Equal(fleet.BootID("new")))
		Expect(o.failing()).To(BeFalse())
		Expect(o.fail(at(40), at(41))).To(BeTrue())
		o.succeed(seen(35, "new"), at(42))
		Expect(o.failing()).To(BeTrue(), "a success from before the failure")
		o.succeed(seen(50, "new"), at(51))
		Expect(o.failing()).To(BeFalse())
	})
})
