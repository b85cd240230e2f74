package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/view"
)

var _ = Describe("A new daemon", func() {
	const gracePeriod = 2 * time.Second
	start := time.Now()
	silent := view.GroupStatus{Condition: group.MemberSilent, Missing: []fleet.VMID{"vm1"}}
	viewOf := func(version infra.Offset, known bool, status view.GroupStatus) *view.View {
		return &view.View{Config: config.Versioned{Version: version}, GroupsKnown: known, Status: []view.GroupStatus{status}}
	}

	DescribeTable("is ready",
		func(v *view.View, heard bool, after time.Duration, ready bool) {
			r := newReadiness(func(fleet.VMID, time.Time) bool { return !heard }, gracePeriod)
			r.check(v, start)
			Expect(r.check(v, start.Add(after))).To(Equal(ready))
		},
		Entry("not without a configuration", viewOf(0, true, view.GroupStatus{}), true, gracePeriod, false),
		Entry("not before it has read the groups", viewOf(1, false, view.GroupStatus{}), true, gracePeriod, false),
		Entry("not before it has a report on each member", viewOf(1, true, silent), false, gracePeriod/2, false),
		Entry("once a member has had no report for the grace period", viewOf(1, true, silent), false, gracePeriod, true),
		Entry("when a member is known to be missing", viewOf(1, true, silent), true, time.Duration(0), true),
		Entry("while a group loads", viewOf(1, true, view.GroupStatus{Condition: group.Loading}), false, time.Duration(0), true),
	)

	It("remains ready when a member stops reporting later", func() {
		r := newReadiness(func(fleet.VMID, time.Time) bool { return true }, gracePeriod)
		Expect(r.check(viewOf(1, true, view.GroupStatus{Condition: group.Complete}), start)).To(BeTrue())
		Expect(r.check(viewOf(1, true, silent), start)).To(BeTrue())
	})
})
