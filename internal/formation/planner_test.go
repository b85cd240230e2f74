package formation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("The planner", func() {
	It("forms a group of each model and preloads the scarcest models on the remaining endpoints", func() {
		d := newDeployment(7)
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		loaded := 0
		for _, e := range d.endpoints {
			if e.Model != "" {
				loaded++
			}
		}
		Expect(loaded).To(Equal(7))
	})

	It("stages the other model on the hosts of each group before the first request, so the survivors of a failed group can serve it", func() {
		d := newDeployment(5)
		for _, e := range d.endpoints {
			e.Staged = nil
		}
		d.in.BeforeTraffic = true
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		d.in.BeforeTraffic = false
		for _, id := range []string{d.recordOf("big").Members[2].ID, d.recordOf("small").Members[1].ID} {
			delete(d.endpoints, id)
		}
		d.in.Health.Dead[d.recordOf("small").Members[0].ID] = 1
		d.executed = nil
		d.converge()
		Expect(d.serving()).To(ConsistOf("small"), "formed by two endpoints that had the big model loaded")
		Expect(d.executed).NotTo(ContainElement(HaveField("Loads", true)))
	})

	It("creates no group at first start until all endpoints of the domain have registered", func() {
		d := newDeployment(7)
		d.in.BeforeTraffic = true
		d.endpoints["e6"].FirstSeen = d.in.Now
		Expect(d.plan().Grants).To(BeEmpty())
		d.in.Now = d.in.Now.Add(time.Second)
		Expect(d.plan().Grants).NotTo(BeEmpty())
	})

	It("opens a group only when every member is ready under the current epoch", func() {
		d := newDeployment(5)
		d.converge()
		record := d.recordOf("big")
		d.endpoints[record.Head().ID].Group.State = registry.Ready
		d.endpoints[record.Members[1].ID].Group.State = registry.Joining
		Expect(operations(d.plan())).NotTo(ContainElement(formation.Open))
		d.endpoints[record.Members[1].ID].Group = registry.Membership{Group: record.Group, Epoch: record.Epoch - 1, State: registry.Ready}
		Expect(operations(d.plan())).NotTo(ContainElement(formation.Open))
		d.endpoints[record.Members[1].ID].Group = registry.Membership{Group: record.Group, Epoch: record.Epoch, Rank: 1, State: registry.Ready}
		Expect(operations(d.plan())).To(ContainElement(formation.Open))
	})

	It("replaces a lost member by a spare that has the model loaded, after the old head has released the group", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		delete(d.endpoints, record.Members[2].ID)
		plan := d.step()
		Expect(plan.Grants).To(HaveLen(1))
		Expect(plan.Grants[0].Former).To(ConsistOf(ledger.Former{Group: record.Group, Epoch: record.Epoch, Head: record.Head()}))
		Expect(operations(plan)).NotTo(ContainElement(formation.Join))
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		Expect(d.recordOf("big").Epoch).To(BeNumerically(">", record.Epoch))
	})

	It("lets a healthy head complete its requests when a member is draining", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		d.endpoints[record.Members[2].ID].Draining = true
		d.step()
		plan := d.plan()
		Expect(operations(plan)).To(ContainElement(formation.Finish))
		Expect(operations(plan)).NotTo(ContainElement(formation.Join))
		d.step()
		Expect(operations(d.plan())).NotTo(ContainElement(formation.Leave), "the drain timeout has not expired")
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("applies a failed probe only to the incarnation that was probed", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		d.in.Health.Dead[record.Members[2].ID] = 0
		Expect(d.plan().Grants).To(BeEmpty())
		d.in.Health.Dead[record.Members[2].ID] = 1
		Expect(d.plan().Grants).To(HaveLen(1))
	})

	It("keeps a group when a member loses only its connection to the store, but not when the head does", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		member := record.Members[1]
		partitioned := d.endpoints[member.ID]
		delete(d.endpoints, member.ID)
		d.in.Health.Absent = map[string]formation.Absence{member.ID: {Born: 1, State: formation.Alive}}
		Expect(d.plan().Grants).To(BeEmpty())
		d.in.Health.Absent[member.ID] = formation.Absence{Born: 1, State: formation.Unconfirmed}
		Expect(d.plan().Grants).To(BeEmpty(), "no member of the group answers")
		d.in.Health.Absent[member.ID] = formation.Absence{Born: 1, State: formation.Unresponsive}
		Expect(d.plan().Grants).To(HaveLen(1))
		d.endpoints[member.ID] = partitioned
		delete(d.endpoints, record.Head().ID)
		d.in.Health.Absent[record.Head().ID] = formation.Absence{Born: 1, State: formation.Alive}
		Expect(d.plan().Grants).To(HaveLen(1))
	})

	It("waits for the entries of all members, including the head, when a partition heals", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		head := d.endpoints[record.Head().ID]
		delete(d.endpoints, head.ID)
		d.endpoints[record.Members[1].ID].FirstSeen = d.in.Now
		d.in.Health.Absent = map[string]formation.Absence{head.ID: {Born: 1, State: formation.Alive}}
		Expect(d.plan().Grants).To(BeEmpty())
		d.in.Now = d.in.Now.Add(3 * time.Second)
		Expect(d.plan().Grants).To(HaveLen(1))
	})

	It("treats a restarted member as lost", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		restarted := d.endpoints[record.Members[1].ID]
		*restarted = registry.Endpoint{ID: restarted.ID, Service: "s", Domain: "d", Address: restarted.Address, Slots: 4, Born: 2, Staged: []string{"big"}}
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("orders no endpoint to join until the former head has confirmed the release", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		head := record.Head().ID
		d.endpoints[head].Draining = true
		d.step()
		// The head has no registry entry and answers no order.
		delete(d.endpoints, head)
		for range 30 {
			plan := d.plan()
			d.applyToLedger(plan)
			for _, order := range plan.Orders {
				Expect(order.Operation).NotTo(Equal(formation.Join))
			}
			d.in.Now = d.in.Now.Add(100 * time.Millisecond)
		}
		Expect(operations(d.plan())).To(ContainElement(formation.Leave))
	})

	It("does not change a group without any registered member, which may still serve behind a partition", func() {
		d := newDeployment(7)
		d.converge()
		kept := d.in.Groups
		partitioned := d.endpoints
		d.endpoints = map[string]*registry.Endpoint{}
		d.converge()
		Expect(d.in.Groups).To(Equal(kept))
		d.endpoints = partitioned
		Expect(d.plan().Grants).To(BeEmpty())
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("grants no member of a group that is missing from the ledger while its head serves", func() {
		d := newDeployment(5)
		d.converge()
		d.in.Groups = &ledger.State{Groups: map[string]*ledger.Record{}, End: d.in.Groups.End}
		plan := d.step()
		Expect(plan.Grants).To(BeEmpty())
		Expect(operations(plan)).To(HaveEach(formation.Leave))
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("waits for the head of a group that is missing from the ledger before it grants a member", func() {
		d := newDeployment(0)
		for _, id := range []string{"a", "b", "c", "f"} {
			d.add(id)
		}
		member := d.endpoints["a"]
		member.Group = registry.Membership{Group: "old", Epoch: 3, Rank: 1, State: registry.Ready}
		member.FirstSeen = d.in.Now
		d.in.Groups.End = 9
		for _, grant := range d.plan().Grants {
			Expect(grant.Has("a")).To(BeFalse())
		}
	})

	It("dissolves a group of lower value when a group of higher value lacks members", func() {
		d := newDeployment(5)
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		record := d.recordOf("big")
		delete(d.endpoints, record.Members[2].ID)
		d.converge()
		Expect(d.serving()).To(ConsistOf("big"))
	})

	It("does not repair a group with an endpoint that must first load the model", func() {
		d := newDeployment(5)
		d.converge()
		cold := d.add("cold")
		cold.Staged = nil
		cold.Model = ""
		record := d.recordOf("big")
		delete(d.endpoints, record.Members[2].ID)
		plan := d.plan()
		for _, grant := range plan.Grants {
			Expect(grant.Has("cold")).To(BeFalse())
		}
	})

	It("orders preloads under an epoch below that of any later group", func() {
		d := newDeployment(7)
		for range 10 {
			plan := d.step()
			for _, order := range plan.Orders {
				if order.Operation == formation.Join && len(order.Members) == 1 {
					Expect(order.Epoch).To(BeNumerically("<=", max(d.in.Groups.End, 1)-1))
				}
			}
		}
	})

	It("replaces a slow member by an endpoint that is not slow", func() {
		d := newDeployment(7)
		d.converge()
		record := d.recordOf("big")
		d.in.Health.Slow[record.Members[1].ID] = 4
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		Expect(d.recordOf("big").Has(record.Members[1].ID)).To(BeFalse())
	})
})

var _ = Describe("The planner, with a slow member and no spare", func() {
	It("keeps a moderately slow group and dissolves one that is unusably slow", func() {
		d := newDeployment(5)
		d.converge()
		record := d.recordOf("big")
		d.in.Health.Slow[record.Members[1].ID] = 2
		Expect(d.plan().Grants).To(BeEmpty())
		d.in.Health.Slow[record.Members[1].ID] = 8
		d.converge()
		for _, current := range d.in.Groups.Groups {
			Expect(current.Has(record.Members[1].ID)).To(BeFalse())
		}
	})
})

func operations(plan formation.Plan) []formation.Operation {
	var found []formation.Operation
	for _, order := range plan.Orders {
		found = append(found, order.Operation)
	}
	return found
}
