package formation_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// world is a small deployment in which orders are carried out at once.
type world struct {
	in        formation.Input
	endpoints map[string]*registry.Endpoint
	given     []formation.Order
}

// newWorld returns a world with one domain of a number of endpoints, a model big
// of three VMs with two thirds of the work, and a model small of two.
func newWorld(endpoints int) *world {
	service := catalog.Service{Name: "s", Models: []catalog.Model{{Name: "big", Size: 3, Share: 0.67}, {Name: "small", Size: 2, Share: 0.33}}}
	w := &world{endpoints: map[string]*registry.Endpoint{}}
	w.in = formation.Input{
		Catalog: catalog.New(1, nil, []catalog.Service{service}, nil, catalog.Limits{}),
		Groups:  &ledger.State{Groups: map[string]*ledger.Record{}},
		Health: formation.Health{
			Dead: map[string]int64{}, Slow: map[string]float64{}, Promised: map[string]formation.Promise{},
			LetGo: map[string]bool{}, Closing: map[string]int64{},
		},
		Owns: func(string) bool { return true },
		Now:  time.Unix(1000, 0),
	}
	for i := range endpoints {
		w.add(fmt.Sprintf("e%d", i))
	}
	return w
}

func (w *world) add(id string) *registry.Endpoint {
	e := &registry.Endpoint{ID: id, Service: "s", Domain: "d", Address: id, Slots: 4, Born: 1, Staged: []string{"big", "small"}, Appeared: time.Unix(0, 0)}
	w.endpoints[id] = e
	return e
}

// plan returns the plan for the world as it is.
func (w *world) plan() formation.Plan {
	w.in.Endpoints = &registry.Snapshot{ByID: map[string]*registry.Endpoint{}, ByService: map[string][]*registry.Endpoint{}}
	for _, e := range w.endpoints {
		copied := *e
		w.in.Endpoints.ByID[e.ID] = &copied
		w.in.Endpoints.ByService["s"] = append(w.in.Endpoints.ByService["s"], &copied)
	}
	return formation.MakePlan(w.in)
}

// step carries one plan out.
func (w *world) step() formation.Plan {
	plan := w.plan()
	w.write(plan)
	for _, order := range plan.Orders {
		w.obey(order)
	}
	w.in.Now = w.in.Now.Add(100 * time.Millisecond)
	return plan
}

func (w *world) settle() {
	for range 30 {
		w.step()
	}
}

func (w *world) write(plan formation.Plan) {
	next := &ledger.State{Groups: map[string]*ledger.Record{}, End: w.in.Groups.End}
	for name, record := range w.in.Groups.Groups {
		next.Groups[name] = record
	}
	for _, name := range plan.Drops {
		delete(next.Groups, name)
		next.End++
	}
	for _, grant := range plan.Grants {
		granted := *grant
		granted.Epoch = next.End
		next.Groups[grant.Group] = &granted
		next.End++
	}
	w.in.Groups = next
}

// obey does what an endpoint would do, and fails if a member joins another group
// while the head of its group serves.
func (w *world) obey(order formation.Order) {
	w.given = append(w.given, order)
	e := w.endpoints[order.To.ID]
	if e == nil || e.Born != order.To.Born {
		return
	}
	switch order.Operation {
	case formation.Join:
		w.checkFree(e, order)
		rank := 0
		for i, id := range order.Members {
			if id == e.ID {
				rank = i
			}
		}
		e.Group = registry.Membership{Group: order.Group, Epoch: order.Epoch, Rank: rank, State: registry.Ready}
		e.Model = order.Model
	case formation.Open:
		if e.Group.In(order.Group, order.Epoch) && e.Group.State == registry.Ready {
			e.Group.State = registry.Open
		}
	case formation.Leave:
		if e.Group.In(order.Group, order.Epoch) {
			e.Group = registry.Membership{}
		}
		w.in.Health.LetGo[formation.FormerKey(ledger.Former{Group: order.Group, Epoch: order.Epoch, Head: order.To})] = true
	case formation.Finish:
		w.in.Health.Closing[formation.FormerKey(ledger.Former{Group: order.Group, Epoch: order.Epoch, Head: order.To})] = w.in.Now.UnixMilli()
		e.Group.State = registry.Closing
	case formation.Stage:
		e.Staged = []string{order.Model}
	}
}

func (w *world) checkFree(e *registry.Endpoint, order formation.Order) {
	if e.Group.Group == "" || e.Group.In(order.Group, order.Epoch) {
		return
	}
	for _, head := range w.endpoints {
		if head.Group.Rank == 0 && head.Group.In(e.Group.Group, e.Group.Epoch) {
			Expect(head.Group.Serves()).To(BeFalse(), "%s joins %s while the head of its group serves", e.ID, order.Group)
		}
	}
}

// serving returns the models of the open groups whose members are all there.
func (w *world) serving() []string {
	var models []string
	for _, record := range w.in.Groups.Groups {
		head := w.endpoints[record.Head().ID]
		if record.Ending || head == nil || head.Group.State != registry.Open || !head.Group.In(record.Group, record.Epoch) {
			continue
		}
		models = append(models, record.Model)
	}
	return models
}

func (w *world) recordOf(model string) *ledger.Record {
	for _, record := range w.in.Groups.Groups {
		if record.Model == model && !record.Ending {
			return record
		}
	}
	return nil
}
