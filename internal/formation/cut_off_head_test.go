package formation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// Guards against members that are in two groups at once, as the head of theirs serves on out of reach. The deployment
// fails the spec if an endpoint takes a join while the head of its group serves.
var _ = Describe("The members of a head that is cut off from the store and the planner, and serves on", func() {
	var d *deployment
	var head string
	// cutOff cuts off the head of the larger model's group.
	cutOff := func(endpoints int) {
		d = newDeployment(endpoints)
		d.converge()
		head = d.recordOf("big").Head().ID
		d.executed = nil
		d.cutOff[head] = true
	}
	vacated := func() int {
		count := 0
		for _, order := range d.executed {
			if order.Operation == formation.Vacate {
				count++
				Expect(order.To.ID).NotTo(Equal(head))
			}
		}
		return count
	}

	It("join their group again with a spare, each once it has left", func() {
		cutOff(7)
		d.converge()
		Expect(d.serving()).To(ConsistOf("big", "small"))
		Expect(d.recordOf("big").Has(head)).To(BeFalse())
		Expect(vacated()).To(BeNumerically(">=", 2))
		Expect(d.endpoints[head].Group.State).To(Equal(registry.Open))
	})

	It("join other groups where there is no spare, each once it has left", func() {
		cutOff(5)
		d.converge()
		Expect(d.serving()).To(ConsistOf("big"), "of the two members and one of the smaller model's")
		Expect(d.recordOf("big").Has(head)).To(BeFalse())
		Expect(vacated()).To(Equal(2))
	})

	It("leave it one by one as their entries return, where the group was dissolved without them", func() {
		cutOff(5)
		members := d.recordOf("big").Members
		for _, member := range members[1:] {
			d.cutOff[member.ID] = true
		}
		next := *d.in.Groups
		next.Groups = map[string]*ledger.Record{}
		for name, record := range d.in.Groups.Groups {
			if record.Model != "big" {
				next.Groups[name] = record
			}
		}
		d.in.Groups = &next
		delete(d.cutOff, members[1].ID)
		d.converge()
		Expect(vacated()).To(Equal(1))
		delete(d.cutOff, members[2].ID)
		d.converge()
		Expect(vacated()).To(Equal(2))
		Expect(d.serving()).To(ConsistOf("big"))
	})

	It("are not told to leave a group whose record may not have been read", func() {
		cutOff(5)
		next := *d.in.Groups
		next.Groups, next.End = map[string]*ledger.Record{}, d.recordOf("big").Epoch
		d.in.Groups = &next
		for _, order := range d.plan().Orders {
			Expect(order.Operation).NotTo(Equal(formation.Vacate))
		}
	})

	It("are told once the head has let go that they need not leave", func() {
		cutOff(5)
		delete(d.cutOff, head)
		d.endpoints[head].Draining = true
		d.converge()
		Expect(vacated()).To(BeZero())
	})
})
