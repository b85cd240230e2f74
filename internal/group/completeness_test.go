package group_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

var _ = Describe("A group", func() {
	const member = fleet.VMID("a-001")

	completeGroup := func() (*world, *group.Record) {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.settle()
		Expect(w.complete()).To(HaveKeyWithValue("v1", 1))
		return w, w.groupOf("m")
	}
	reports := func(change func(*fleet.MemberReport)) func(*world) {
		return func(w *world) { w.report(member, change) }
	}

	DescribeTable("is not complete if one member", func(change func(*world), want group.Condition) {
		w, record := completeGroup()
		change(w)
		Expect(group.Check(record, w.World, w.Now, w.Bounds.ReportBound)).To(Equal(want))
		Expect(group.Missing(record, w.World, w.Now, w.Bounds.ReportBound)).To(Equal([]fleet.VMID{member}))
	},
		Entry("has rebooted", reports(func(r *fleet.MemberReport) { r.Boot = "boot-2" }), group.MemberBooted),
		Entry("belongs to another group", reports(func(r *fleet.MemberReport) { r.Group++ }), group.MemberMoved),
		Entry("is not ready", reports(func(r *fleet.MemberReport) { r.State = fleet.EngineLoading }), group.MemberMoved),
		Entry("has only a stale report", func(w *world) { w.advance(w.Bounds.ReportBound+1, member) }, group.MemberSilent),
		Entry("has never reported", func(w *world) { delete(w.World.Observations, member) }, group.MemberSilent),
		Entry("failed a poll or a request", func(w *world) {
			observation := w.World.Observations[member]
			observation.Failed = true
			w.World.Observations[member] = observation
		}, group.MemberSilent),
		Entry("runs on a VM that is leaving", func(w *world) {
			vm := w.World.VMs[member]
			vm.Leaving = true
			w.World.VMs[member] = vm
		}, group.MemberGoing),
	)

	It("is valid until the oldest report of its members becomes stale", func() {
		for _, silent := range []fleet.VMID{"a-000", member} {
			w, record := completeGroup()
			oldest := w.Now
			w.advance(time.Second, silent)
			Expect(group.ValidUntil(record, w.World, w.Bounds.ReportBound)).To(Equal(oldest.Add(w.Bounds.ReportBound)))
		}
	})

	It("is not proposed as ready while a member reports another group", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.advance(time.Second)
		w.apply(group.MakePlan(w.Input), true)
		w.report(member, func(r *fleet.MemberReport) { r.Group++ })
		Expect(group.MakePlan(w.Input).Readies).To(BeEmpty())
		w.report(member, func(r *fleet.MemberReport) { r.Group-- })
		Expect(group.MakePlan(w.Input).Readies).To(HaveLen(1))
	})

	It("is not released while its requests run, unless the drain limit has passed", func() {
		w, record := completeGroup()
		w.report(record.Leader(), func(r *fleet.MemberReport) { r.Running = 1 })
		Expect(w.append(group.KindDrain, group.Drain{Group: record.Fencing})).To(Succeed())
		w.advance(0)
		w.advance(w.Bounds.DrainSettle + time.Second)
		Expect(group.MakePlan(w.Input).Releases).To(BeEmpty())
		w.advance(w.Bounds.DrainLimit)
		Expect(group.MakePlan(w.Input).Releases).To(HaveLen(1))
	})

	It("is not released on a report of no load that may predate its last request", func() {
		w, record := completeGroup()
		Expect(w.append(group.KindDrain, group.Drain{Group: record.Fencing})).To(Succeed())
		w.advance(0)
		w.advance(w.Bounds.DrainSettle - time.Second)
		Expect(group.MakePlan(w.Input).Releases).To(BeEmpty())
		w.advance(time.Second)
		Expect(group.MakePlan(w.Input).Releases).To(HaveLen(1))
	})

	It("sends a member no order to rejoin, and none if its report is newer than the fold", func() {
		w, record := completeGroup()
		target := func(change func(*fleet.MemberReport)) bool {
			observation := w.World.Observations[member]
			change(&observation.Report)
			_, ok := group.Target(w.Fold, observation)
			return ok
		}
		Expect(target(func(r *fleet.MemberReport) { r.Boot, r.Group, r.State = "boot-2", fleet.NoGroup, fleet.EngineIdle })).To(BeFalse())
		Expect(w.append(group.KindRelease, group.Release{Group: record.Fencing})).To(Succeed())
		Expect(target(func(*fleet.MemberReport) {})).To(BeTrue())
		Expect(target(func(r *fleet.MemberReport) { r.Group = w.Fold.VM(member).Fence + 1 })).To(BeFalse())
	})
})
