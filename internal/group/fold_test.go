package group_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

func newForm(fences ...fleet.FencingNumber) group.Form {
	return group.Form{
		Model: "m", Members: []fleet.VMID{"a-000", "a-001"}, Addresses: []string{"x", "y"},
		Fences: fences, ReuseDelayMillis: 10_000,
	}
}

var _ = Describe("The fold", func() {
	It("rejects a form made before its VMs were assigned and released again", func() {
		w := newWorld(nil, nil)
		Expect(w.append(group.KindForm, newForm(0, 0))).To(Succeed())
		var taken *group.VMTakenError
		Expect(w.append(group.KindForm, newForm(0, 0))).To(BeAssignableToTypeOf(taken))
		Expect(w.append(group.KindRelease, group.Release{Group: 1})).To(Succeed())
		var stale *group.StaleFenceError
		Expect(w.append(group.KindForm, newForm(0, 0))).To(BeAssignableToTypeOf(stale))
		Expect(w.append(group.KindForm, newForm(3, 3))).To(Succeed())
	})

	It("rejects a form with a repeated VM or a missing field, and a ready record without the boot ID of every member", func() {
		w := newWorld(nil, nil)
		twice, unnamed, unaddressed := newForm(0, 0), newForm(0, 0), newForm(0, 0)
		twice.Members[1] = "a-000"
		unnamed.Members[1] = ""
		unaddressed.Addresses = nil
		for _, form := range []group.Form{{}, newForm(0), twice, unnamed, unaddressed} {
			Expect(w.append(group.KindForm, form)).NotTo(Succeed())
		}
		Expect(w.Fold.VMs()).To(BeEmpty())
		Expect(w.append(group.KindForm, newForm(0, 0))).To(Succeed())
		for _, second := range []fleet.VMID{"a-001", "b-000"} {
			boots := map[fleet.VMID]fleet.BootID{"a-000": "b", second: ""}
			Expect(w.append(group.KindReady, group.Ready{Group: 6, Boots: boots})).NotTo(Succeed())
		}
		Expect(w.Fold.Groups()[6].IsReady()).To(BeFalse())
	})

	It("records the boot IDs only once, never undoes a drain, and survives encoding", func() {
		w := newWorld(nil, nil)
		Expect(w.append(group.KindForm, newForm(0, 0))).To(Succeed())
		ready := group.Ready{Group: 1, Boots: map[fleet.VMID]fleet.BootID{"a-000": "b", "a-001": "b"}}
		Expect(w.append(group.KindReady, ready)).To(Succeed())
		Expect(w.append(group.KindReady, ready)).NotTo(Succeed())
		Expect(w.append(group.KindDrain, group.Drain{Group: 1})).To(Succeed())
		Expect(w.append(group.KindDrain, group.Drain{Group: 1})).NotTo(Succeed())
		Expect(group.Check(w.Fold.Groups()[1], w.World, w.Now, time.Hour)).To(Equal(group.Draining))

		data, err := w.Fold.Encode()
		Expect(err).NotTo(HaveOccurred())
		copied := group.NewFold()
		Expect(copied.Decode(data)).To(Succeed())
		Expect(copied).To(Equal(w.Fold))
	})

	It("evicts the least recently released VMs, and never a member", func() {
		w := newWorld(nil, nil)
		Expect(w.append(group.KindForm, newForm(0, 0))).To(Succeed())
		for i := range 2100 {
			form := group.Form{Members: []fleet.VMID{fleet.VMID(fmt.Sprintf("old-%d", i))}, Addresses: []string{"x"}, Fences: make([]fleet.FencingNumber, 1)}
			Expect(w.append(group.KindForm, form)).To(Succeed())
			Expect(w.append(group.KindRelease, group.Release{Group: fleet.FencingNumber(w.next - 1)})).To(Succeed())
		}
		Expect(w.Fold.VMs()).To(HaveLen(2048 + 2))
		Expect(w.Fold.VMs()).To(And(HaveKey(fleet.VMID("a-000")), HaveKey(fleet.VMID("old-2099")), Not(HaveKey(fleet.VMID("old-0")))))
	})

	It("does not count a group as complete if a member rebooted before the ready record", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.advance(time.Second)
		w.apply(group.MakePlan(w.Input), true)
		w.advance(time.Second)
		plan := group.MakePlan(w.Input)
		Expect(plan.Readies).To(HaveLen(1))
		w.report("a-001", func(r *fleet.MemberReport) { r.Boot = "boot-2" }) // while the record is being appended
		w.apply(plan, true)
		Expect(w.complete()).To(BeEmpty())
		w.advance(time.Second)
		Expect(group.MakePlan(w.Input).Releases).To(HaveLen(1))
	})

	It("delays the reuse of released VMs from when the proposer first saw the release", func() {
		m := model("m", 2, 1, 1)
		m.ChecksFencing = false
		w := newWorld([]config.Model{m}, map[fleet.FabricDomain]int{"a": 2})
		w.settle()
		w.report("a-000", func(r *fleet.MemberReport) { r.Boot, r.Group, r.State = "boot-2", fleet.NoGroup, fleet.EngineIdle })
		w.apply(group.MakePlan(w.Input), true)
		Expect(w.Fold.Groups()).To(BeEmpty())
		w.advance(9 * time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(BeEmpty())
		w.advance(2 * time.Second)
		Expect(group.MakePlan(w.Input).Forms).To(HaveLen(1))
	})
})

var _ = Describe("The roster", func() {
	It("includes group members that are not listed, and keeps a VM leaving after it disappears from the list", func() {
		w := newWorld([]config.Model{model("m", 2, 1, 1)}, map[fleet.FabricDomain]int{"a": 2})
		w.settle()
		var roster group.Roster
		listed := map[fleet.VMID]fleet.VM{"a-000": {ID: "a-000", Address: "moved", Leaving: true}}
		known := roster.Update(listed, w.Fold, w.World.Observations, w.Now, w.Bounds.ReportBound)
		Expect(known["a-001"].Address).To(Equal("a-001")) // as recorded in the form
		known = roster.Update(nil, w.Fold, w.World.Observations, w.Now, w.Bounds.ReportBound)
		Expect(known["a-000"].Leaving).To(BeTrue())
	})
})
