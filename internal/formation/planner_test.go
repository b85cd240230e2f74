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
	It("forms a group of each model and keeps the rest loaded with what would be missed first", func() {
		w := newWorld(7)
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
		loaded := 0
		for _, e := range w.endpoints {
			if e.Model != "" {
				loaded++
			}
		}
		Expect(loaded).To(Equal(7))
	})

	It("puts before the first request the other model on the hosts of each group, so that the rest of a broken one serves", func() {
		w := newWorld(5)
		for _, e := range w.endpoints {
			e.Staged = nil
		}
		w.in.Quiet = true
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
		w.in.Quiet = false
		for _, id := range []string{w.recordOf("big").Members[2].ID, w.recordOf("small").Members[1].ID} {
			delete(w.endpoints, id)
		}
		w.in.Health.Dead[w.recordOf("small").Members[0].ID] = 1
		w.given = nil
		w.settle()
		Expect(w.serving()).To(ConsistOf("small"), "of two that had the big model at hand")
		Expect(w.given).NotTo(ContainElement(HaveField("Loads", true)))
	})

	It("waits at a first start until a domain's endpoints have appeared", func() {
		w := newWorld(7)
		w.in.Quiet = true
		w.endpoints["e6"].Appeared = w.in.Now
		Expect(w.plan().Grants).To(BeEmpty())
		w.in.Now = w.in.Now.Add(time.Second)
		Expect(w.plan().Grants).NotTo(BeEmpty())
	})

	It("opens a group only when every member is ready under this record", func() {
		w := newWorld(5)
		w.settle()
		record := w.recordOf("big")
		w.endpoints[record.Head().ID].Group.State = registry.Ready
		w.endpoints[record.Members[1].ID].Group.State = registry.Joining
		Expect(operations(w.plan())).NotTo(ContainElement(formation.Open))
		w.endpoints[record.Members[1].ID].Group = registry.Membership{Group: record.Group, Epoch: record.Epoch - 1, State: registry.Ready}
		Expect(operations(w.plan())).NotTo(ContainElement(formation.Open))
		w.endpoints[record.Members[1].ID].Group = registry.Membership{Group: record.Group, Epoch: record.Epoch, Rank: 1, State: registry.Ready}
		Expect(operations(w.plan())).To(ContainElement(formation.Open))
	})

	It("replaces a lost member by a spare that has the model at hand, once the old head has let go", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		delete(w.endpoints, record.Members[2].ID)
		plan := w.step()
		Expect(plan.Grants).To(HaveLen(1))
		Expect(plan.Grants[0].Former).To(ConsistOf(ledger.Former{Group: record.Group, Epoch: record.Epoch, Head: record.Head()}))
		Expect(operations(plan)).NotTo(ContainElement(formation.Join))
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
		Expect(w.recordOf("big").Epoch).To(BeNumerically(">", record.Epoch))
	})

	It("lets a sound head finish its requests when a member is only leaving", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		w.endpoints[record.Members[2].ID].Draining = true
		w.step()
		plan := w.plan()
		Expect(operations(plan)).To(ContainElement(formation.Finish))
		Expect(operations(plan)).NotTo(ContainElement(formation.Join))
		w.step()
		Expect(operations(w.plan())).NotTo(ContainElement(formation.Leave), "it still has time")
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
	})

	It("does not take the silence of one probe for more than the life that was probed", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		w.in.Health.Dead[record.Members[2].ID] = 0
		Expect(w.plan().Grants).To(BeEmpty())
		w.in.Health.Dead[record.Members[2].ID] = 1
		Expect(w.plan().Grants).To(HaveLen(1))
	})

	It("keeps a group whose member only lost its way to the store, but not its head", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		member := record.Members[1]
		cut := w.endpoints[member.ID]
		delete(w.endpoints, member.ID)
		w.in.Health.Absent = map[string]formation.Absence{member.ID: {Born: 1, State: formation.Alive}}
		Expect(w.plan().Grants).To(BeEmpty())
		w.in.Health.Absent[member.ID] = formation.Absence{Born: 1, State: formation.Asked}
		Expect(w.plan().Grants).To(BeEmpty(), "nobody of the group answers")
		w.in.Health.Absent[member.ID] = formation.Absence{Born: 1, State: formation.Silent}
		Expect(w.plan().Grants).To(HaveLen(1))
		w.endpoints[member.ID] = cut
		delete(w.endpoints, record.Head().ID)
		w.in.Health.Absent[record.Head().ID] = formation.Absence{Born: 1, State: formation.Alive}
		Expect(w.plan().Grants).To(HaveLen(1))
	})

	It("waits for the entries of a whole group that comes back after a cut, also for its head's", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		head := w.endpoints[record.Head().ID]
		delete(w.endpoints, head.ID)
		w.endpoints[record.Members[1].ID].Appeared = w.in.Now
		w.in.Health.Absent = map[string]formation.Absence{head.ID: {Born: 1, State: formation.Alive}}
		Expect(w.plan().Grants).To(BeEmpty())
		w.in.Now = w.in.Now.Add(3 * time.Second)
		Expect(w.plan().Grants).To(HaveLen(1))
	})

	It("takes a member that started anew for lost", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		reborn := w.endpoints[record.Members[1].ID]
		*reborn = registry.Endpoint{ID: reborn.ID, Service: "s", Domain: "d", Address: reborn.Address, Slots: 4, Born: 2, Staged: []string{"big"}}
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
	})

	It("never joins endpoints of a former head that did not confirm that it let go", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		head := record.Head().ID
		w.endpoints[head].Draining = true
		w.step()
		// The head's entry is gone, and it answers nobody.
		delete(w.endpoints, head)
		for range 30 {
			plan := w.plan()
			w.write(plan)
			for _, order := range plan.Orders {
				Expect(order.Operation).NotTo(Equal(formation.Join))
			}
			w.in.Now = w.in.Now.Add(100 * time.Millisecond)
		}
		Expect(operations(w.plan())).To(ContainElement(formation.Leave))
	})

	It("leaves a group alone of which no member is known: it may serve on behind a cut", func() {
		w := newWorld(7)
		w.settle()
		kept := w.in.Groups
		cut := w.endpoints
		w.endpoints = map[string]*registry.Endpoint{}
		w.settle()
		Expect(w.in.Groups).To(Equal(kept))
		w.endpoints = cut
		Expect(w.plan().Grants).To(BeEmpty())
		Expect(w.serving()).To(ConsistOf("big", "small"))
	})

	It("grants nothing of a group that the ledger has no more while its head serves", func() {
		w := newWorld(5)
		w.settle()
		w.in.Groups = &ledger.State{Groups: map[string]*ledger.Record{}, End: w.in.Groups.End}
		plan := w.step()
		Expect(plan.Grants).To(BeEmpty())
		Expect(operations(plan)).To(HaveEach(formation.Leave))
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
	})

	It("waits for the head of such a group to come back before it grants a member", func() {
		w := newWorld(0)
		for _, id := range []string{"a", "b", "c", "f"} {
			w.add(id)
		}
		member := w.endpoints["a"]
		member.Group = registry.Membership{Group: "old", Epoch: 3, Rank: 1, State: registry.Ready}
		member.Appeared = w.in.Now
		w.in.Groups.End = 9
		for _, grant := range w.plan().Grants {
			Expect(grant.Has("a")).To(BeFalse())
		}
	})

	It("takes a group apart that is worth less when a greater one could not stand otherwise", func() {
		w := newWorld(5)
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
		record := w.recordOf("big")
		delete(w.endpoints, record.Members[2].ID)
		w.settle()
		Expect(w.serving()).To(ConsistOf("big"))
	})

	It("repairs by no endpoint that would have to load the model first", func() {
		w := newWorld(5)
		w.settle()
		cold := w.add("cold")
		cold.Staged = nil
		cold.Model = ""
		record := w.recordOf("big")
		delete(w.endpoints, record.Members[2].ID)
		plan := w.plan()
		for _, grant := range plan.Grants {
			Expect(grant.Has("cold")).To(BeFalse())
		}
	})

	It("orders spares under an epoch below that of any later group", func() {
		w := newWorld(7)
		for range 10 {
			plan := w.step()
			for _, order := range plan.Orders {
				if order.Operation == formation.Join && len(order.Members) == 1 {
					Expect(order.Epoch).To(BeNumerically("<=", max(w.in.Groups.End, 1)-1))
				}
			}
		}
	})

	It("replaces a member that makes its group slow, by one that is not", func() {
		w := newWorld(7)
		w.settle()
		record := w.recordOf("big")
		w.in.Health.Slow[record.Members[1].ID] = 4
		w.settle()
		Expect(w.serving()).To(ConsistOf("big", "small"))
		Expect(w.recordOf("big").Has(record.Members[1].ID)).To(BeFalse())
	})
})

var _ = Describe("The planner, with a slow member and no spare", func() {
	It("keeps a group that is somewhat slow, and takes one apart that is of no use", func() {
		w := newWorld(5)
		w.settle()
		record := w.recordOf("big")
		w.in.Health.Slow[record.Members[1].ID] = 2
		Expect(w.plan().Grants).To(BeEmpty())
		w.in.Health.Slow[record.Members[1].ID] = 8
		w.settle()
		for _, current := range w.in.Groups.Groups {
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
