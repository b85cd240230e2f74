package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

var _ = Describe("The address of a leader", func() {
	vms := map[fleet.VMID]fleet.VM{"vm1": {ID: "vm1", Address: "a:1"}, "vm2": {ID: "vm2", Address: "a:2"}}
	members := fleet.Group{Fencing: 1, Members: []fleet.VMID{"vm1", "vm2"}}
	DescribeTable("takes requests", func(condition group.Condition, takes bool) {
		v := &view.View{Status: []view.GroupStatus{{Group: members, Condition: condition}}}
		Expect(usedAddresses(v, vms)["a:1"]).To(Equal(takes))
		Expect(usedAddresses(v, vms)["a:2"]).To(BeFalse(), "a member")
	},
		Entry("of a complete group", group.Complete, true),
		Entry("of one whose member is silent", group.MemberSilent, true),
		Entry("not of one that drains", group.Draining, false),
		Entry("not of one with a VM that leaves", group.MemberVMLeaving, false),
	)
	It("takes none once its group is released", func() {
		Expect(usedAddresses(&view.View{}, vms)).To(BeEmpty())
	})
	It("takes requests while the list of VMs lacks it and it reports", func() {
		v := &view.View{Groups: []*view.Serving{{Group: members, LeaderAddress: "a:3"}}}
		Expect(usedAddresses(v, nil)).To(HaveKey("a:3"))
	})
})

var _ = Describe("The address of a service", func() {
	It("takes requests", func() {
		v := &view.View{Services: map[string]config.Service{"orders": {Endpoints: []config.ServiceEndpoint{{Address: "s:1"}}}}}
		Expect(usedAddresses(v, nil)).To(Equal(map[string]bool{"s:1": true}))
	})
})
