package formation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

var _ = Describe("The planner, when the store comes back from an older copy", func() {
	var d *deployment
	BeforeEach(func() {
		d = newDeployment(7)
		d.converge()
		d.executed = nil
	})

	It("writes the records of serving groups again under their epochs, and orders nothing of their members", func() {
		big, small := d.recordOf("big"), d.recordOf("small")
		d.restoreStore(big.Group, small.Group)
		Expect(d.step().Grants).To(HaveLen(2))
		d.converge()
		Expect(d.recordOf("big").Epoch).To(Equal(big.Epoch))
		Expect(d.recordOf("small").Epoch).To(Equal(small.Epoch))
		Expect(d.serving()).To(ConsistOf("big", "small"))
		for _, order := range d.executed {
			Expect(order.Group).NotTo(BeElementOf(big.Group, small.Group))
		}
	})

	It("grants a lost group that does not serve yet under a new epoch, after its former head has let go", func() {
		record := d.recordOf("big")
		d.endpoints[record.Head().ID].Group.State = registry.Ready
		d.restoreStore(record.Group)
		plan := d.step()
		Expect(plan.Grants).To(ConsistOf(HaveField("Former", ContainElement(HaveField("Epoch", record.Epoch)))))
		Expect(operations(plan)).NotTo(ContainElement(formation.Open))
		d.converge()
		Expect(keyed.EraOf(d.recordOf("big").Epoch)).To(Equal(uint64(1)))
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("sends no order to join or open under an epoch of an earlier era, which the store may have assigned twice", func() {
		record := d.recordOf("big")
		d.endpoints[record.Head().ID].Group.State = registry.Ready
		d.restoreStore()
		d.converge()
		for _, order := range d.executed {
			if order.Group == record.Group && order.Operation != formation.Leave {
				Expect(keyed.EraOf(order.Epoch)).To(Equal(uint64(1)))
			}
		}
		Expect(d.serving()).To(ConsistOf("big", "small"))
	})

	It("leaves a serving group alone whose record nobody has written again yet", func() {
		record := d.recordOf("big")
		d.restoreStore()
		delete(d.in.Groups.Groups, record.Group) // this daemon started with the old copy only
		plan := d.plan()
		for _, order := range plan.Orders {
			Expect(record.Has(order.To.ID)).To(BeFalse())
		}
		for _, grant := range plan.Grants {
			for _, member := range record.Members {
				Expect(grant.Has(member.ID)).To(BeFalse())
			}
		}
		d.in.EraAge = time.Minute
		Expect(operations(d.plan())).To(ContainElement(formation.Leave), "no daemon knows the group")
	})

	It("deletes a record again that was deleted before", func() {
		d.restoreStore()
		d.in.Groups.Resurrected = map[string]*ledger.Record{"old": {Group: "old", Service: "s", Domain: "d", Members: []ledger.Member{{ID: "x"}}}}
		Expect(d.plan().Drops).To(Equal([]string{"old"}))
	})

	It("gives spares epochs below those of groups that are granted later", func() {
		d = newDeployment(5)
		d.converge()
		d.restoreStore()
		d.add("e9") // the only free endpoint
		found := false
		for _, order := range d.plan().Orders {
			if order.To.ID == "e9" && order.Operation == formation.Join {
				found = true
				Expect(order.Epoch).To(BeNumerically("<", keyed.Position{Era: 1}.Ordinal()))
			}
		}
		Expect(found).To(BeTrue())
	})
})
