package watch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

var _ = Describe("The poll state of an observer", func() {
	It("follows the newest poll, in whichever order the results arrive", func() {
		at := func(second int64) time.Time { return time.Unix(second, 0) }
		seen := func(second int64, boot fleet.BootID) group.Observation {
			return group.Observation{Report: fleet.MemberReport{VM: "vm", Boot: boot}, At: at(second)}
		}
		var o pollState
		Expect(o.recordSuccess(seen(20, "new"), at(30))).To(BeTrue())
		Expect(o.recordSuccess(seen(10, "old"), at(31))).To(BeFalse())
		Expect(o.recordFailure(at(15), at(32))).To(BeFalse())
		Expect(o.lastSuccess.Report.Boot).To(Equal(fleet.BootID("new")))
		Expect(o.failing()).To(BeFalse())
		Expect(o.recordFailure(at(40), at(41))).To(BeTrue())
		o.recordSuccess(seen(35, "new"), at(42))
		Expect(o.failing()).To(BeTrue(), "the success began before the failure")
		o.recordSuccess(seen(50, "new"), at(51))
		Expect(o.failing()).To(BeFalse())
	})
})
