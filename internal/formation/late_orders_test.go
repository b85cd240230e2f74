package formation_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// fencedMember is an endpoint that has joined a group and nothing before, so that its fences are as
// low as they can be. It compares them as the platform's protocol says.
type fencedMember struct {
	group   string
	epoch   uint64
	members []string
	open    bool
}

func (m *fencedMember) carryOut(order formation.Order) {
	same := order.Group == m.group && order.Epoch == m.epoch
	switch order.Operation {
	case formation.Join:
		if order.Epoch < m.epoch || same && !slices.Equal(order.Members, m.members) {
			return
		}
		*m = fencedMember{group: order.Group, epoch: order.Epoch, members: order.Members}
	case formation.Open:
		m.open = m.open || same
	case formation.Drain:
		m.open = m.open && !same
	case formation.Leave:
		if same {
			*m = fencedMember{}
		}
	}
}

// history is what was ordered and granted at each step of a deployment's life.
type history struct {
	*deployment
	orders [][]formation.Order // by step
	grants [][]*ledger.Record  // by step; each group and epoch at its first grant
}

func (h *history) run(steps int) {
	for range steps {
		known := h.in.Groups.Groups
		plan := h.step()
		var granted []*ledger.Record
		for _, name := range slices.Sorted(maps.Keys(h.in.Groups.Groups)) {
			record := h.in.Groups.Groups[name]
			if known[name] == nil || known[name].Epoch != record.Epoch {
				granted = append(granted, record)
			}
		}
		h.orders, h.grants = append(h.orders, plan.Orders), append(h.grants, granted)
	}
}

// restart ends an endpoint and registers it again without a group.
func (h *history) restart(id string) {
	e := h.endpoints[id]
	delete(h.endpoints, id)
	h.run(15)
	again := h.add(id)
	again.Incarnation = e.Incarnation + 1
	h.run(15)
}

// live runs a first start, the loss of each member in turn, and a member that drains.
func (h *history) live() {
	for _, model := range []string{"big", "small", "big", "small"} {
		h.restart(h.recordOf(model).Members[1].ID)
		h.restart(h.recordOf(model).Head().ID)
		draining := h.endpoints[h.recordOf(model).Members[1].ID]
		draining.Draining = true
		h.run(40)
		h.restart(draining.ID)
	}
}

// kindOf names the kind of an order and the eras of the order and of a grant.
func kindOf(order formation.Order, record *ledger.Record) string {
	kind := string(order.Operation)
	if order.Operation == formation.Join && strings.HasPrefix(order.Group, "spare.") {
		kind = "spare"
	}
	return fmt.Sprint(kind, " ", keyed.EraOf(order.Epoch), keyed.EraOf(record.Epoch))
}

// Guards against an order carried out late that takes a member out of a group granted after it was sent.
var _ = Describe("An order that is carried out late", func() {
	It("leaves every member of every group that was granted later where it is, from the first group on and in a new era", func() {
		h := &history{deployment: newDeployment(7)}
		h.in.BeforeTraffic = true
		for _, e := range h.endpoints {
			e.FirstSeen, e.Staged = h.in.Now, nil
		}
		h.run(30)
		h.in.BeforeTraffic = false
		h.live()
		h.restoreStore()
		h.run(10)
		h.in.EraAge = time.Minute
		h.live()

		kinds := map[string]bool{}
		first := false // whether a spare was ordered before the first group was granted
		for sent, orders := range h.orders {
			for _, order := range orders {
				first = first || order.Operation == formation.Join && len(order.Members) == 1 && len(slices.Concat(h.grants[:sent]...)) == 0
				for _, record := range slices.Concat(h.grants[sent:]...) {
					if !record.Has(order.To.ID) {
						continue
					}
					kinds[kindOf(order, record)] = true
					member := fencedMember{group: record.Group, epoch: record.Epoch, open: true}
					for _, m := range record.Members {
						member.members = append(member.members, m.ID)
					}
					before := member
					member.carryOut(order)
					Expect(member).To(Equal(before), "%s of %s, epoch %d, to %s", order.Operation, order.Group, order.Epoch, order.To.ID)
				}
			}
		}
		Expect(first).To(BeTrue())
		for _, kind := range []string{"spare", "join", "open", "finish", "leave"} {
			for _, eras := range []string{"0 0", "0 1", "1 1"} {
				Expect(kinds).To(HaveKey(kind + " " + eras))
			}
		}
		Expect(kinds).To(HaveKey("stage 0 0"))
	})

	It("does not reach a group whose record another daemon writes again in a new era, sent by one that knows neither", func() {
		h := &history{deployment: newDeployment(7)}
		h.run(30)
		record := h.recordOf("big")
		h.restoreStore()
		delete(h.in.Groups.Groups, record.Group)
		for _, member := range record.Members {
			h.endpoints[member.ID].Group = registry.Membership{} // the copy holds their older entries
			h.endpoints[member.ID].Model = ""
		}
		found := false
		h.in.BeforeTraffic = true // no group is formed until all endpoints are known
		h.endpoints["e0"].FirstSeen = h.in.Now
		for _, order := range h.plan().Orders {
			if record.Has(order.To.ID) && order.Operation == formation.Join {
				found = true
				Expect(order.Epoch).To(BeNumerically("<", record.Epoch))
			}
		}
		Expect(found).To(BeTrue())
	})

	It("finds no group under epoch 0 granted by a daemon of the version before, as no spare is ordered before there is a record", func() {
		d := newDeployment(1)
		plan := d.plan()
		Expect(plan.Orders).To(BeEmpty())
		Expect(plan.Drops).To(Equal([]string{ledger.OpeningKey}))
		d.applyToLedger(plan)
		Expect(d.plan().Orders).To(ContainElement(HaveField("Operation", formation.Join)))
		Expect(d.plan().Drops).To(BeEmpty())
	})
})
