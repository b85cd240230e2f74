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
	const grace = 2 * time.Second
	start := time.Now()
	silent := view.GroupStatus{Condition: group.MemberSilent, Missing: []fleet.VMID{"vm1"}}
	viewOf := func(version infra.Offset, known bool, status view.GroupStatus) *view.View {
		return &view.View{Config: config.Versioned{Version: version}, GroupsKnown: known, Status: []view.GroupStatus{status}}
	}

	DescribeTable("is ready",
		func(v *view.View, heard bool, after time.Duration, ready bool) {
			r := newReadiness(func(fleet.VMID, time.Time) bool { return !heard }, grace)
			r.check(v, start)
			Expect(r.check(v, start.Add(after))).To(Equal(ready))
		},
		Entry("not without a configuration", viewOf(0, true, view.GroupStatus{}), true, grace, false),
		Entry("not before it has read the groups", viewOf(1, false, view.GroupStatus{}), true, grace, false),
		Entry("not before it has word of each member", viewOf(1, true, silent), false, grace/2, false),
		Entry("once nobody has spoken of a member for long", viewOf(1, true, silent), false, grace, true),
		Entry("when a member is known to be missing", viewOf(1, true, silent), true, time.Duration(0), true),
		Entry("while a group loads", viewOf(1, true, view.GroupStatus{Condition: group.Loading}), false, time.Duration(0), true),
	)

	It("stays ready when a member falls silent later", func() {
		r := newReadiness(func(fleet.VMID, time.Time) bool { return true }, grace)
		Expect(r.check(viewOf(1, true, view.GroupStatus{Condition: group.Complete}), start)).To(BeTrue())
		Expect(r.check(viewOf(1, true, silent), start)).To(BeTrue())
	})
})
