package formation_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

// deployment simulates a small deployment that executes orders immediately.
type deployment struct {
	in        formation.Input
	endpoints map[string]*registry.Endpoint
	cutOff    map[string]bool // endpoints without an entry that orders do not reach, and that go on
	executed  []formation.Order
}

// newDeployment returns a deployment of one domain with the given number of
// endpoints, a model big with groups of three VMs and two thirds of the work, and a
// model small with groups of two VMs.
func newDeployment(endpoints int) *deployment {
	service := catalog.Service{Name: "s", Models: []catalog.Model{{Name: "big", GroupSize: 3, Share: 0.67}, {Name: "small", GroupSize: 2, Share: 0.33}}}
	d := &deployment{endpoints: map[string]*registry.Endpoint{}, cutOff: map[string]bool{}}
	d.in = formation.Input{
		Catalog: catalog.New(1, nil, []catalog.Service{service}, nil, catalog.Limits{}),
		Groups:  &ledger.State{Groups: map[string]*ledger.Record{}},
		Health: formation.Health{
			Dead: map[string]int64{}, Slow: map[string]float64{}, Preloads: map[string]formation.Preload{},
			Released: map[string]bool{}, Doubtful: map[string]bool{}, Ended: map[string]bool{}, Vacated: map[string]bool{}, DrainingSince: map[string]int64{},
		},
		Owns: func(string) bool { return true },
		Now:  time.Unix(1000, 0),
	}
	for i := range endpoints {
		d.add(fmt.Sprintf("e%d", i))
	}
	return d
}

func (d *deployment) add(id string) *registry.Endpoint {
	e := &registry.Endpoint{ID: id, Service: "s", Domain: "d", Address: id, Slots: 4, Incarnation: 1, Staged: []string{"big", "small"}, FirstSeen: time.Unix(0, 0)}
	d.endpoints[id] = e
	return e
}

// plan returns the plan for the current state.
func (d *deployment) plan() formation.Plan {
	d.in.Endpoints = &registry.Snapshot{ByID: map[string]*registry.Endpoint{}, ByService: map[string][]*registry.Endpoint{}}
	for _, e := range d.endpoints {
		if d.cutOff[e.ID] {
			continue
		}
		copied := *e
		d.in.Endpoints.ByID[e.ID] = &copied
		d.in.Endpoints.ByService["s"] = append(d.in.Endpoints.ByService["s"], &copied)
	}
	return formation.MakePlan(d.in)
}

// step executes one plan.
func (d *deployment) step() formation.Plan {
	plan := d.plan()
	d.applyToLedger(plan)
	for _, order := range plan.Orders {
		d.execute(order)
	}
	d.in.Now = d.in.Now.Add(100 * time.Millisecond)
	return plan
}

func (d *deployment) converge() {
	for range 30 {
		d.step()
	}
}

func (d *deployment) applyToLedger(plan formation.Plan) {
	next := &ledger.State{Groups: map[string]*ledger.Record{}, End: d.in.Groups.End, Era: d.in.Groups.Era, Forgotten: maps.Clone(d.in.Groups.Forgotten)}
	for name, record := range d.in.Groups.Groups {
		next.Groups[name] = record
	}
	for _, name := range plan.Drops {
		delete(next.Groups, name)
		next.End++
	}
	for _, grant := range plan.Grants {
		granted := *grant
		granted.Epoch = keyed.Position{Era: next.Era, Offset: next.End}.Ordinal()
		if grant.RestoredEpoch != nil {
			granted.Epoch = *grant.RestoredEpoch
		}
		granted.RestoredEpoch = nil
		delete(next.Forgotten, grant.Group)
		next.Groups[grant.Group] = &granted
		next.End++
	}
	d.in.Groups = next
}

// execute applies an order as an endpoint would. The spec fails if a member joins
// another group while the head of its current group serves.
func (d *deployment) execute(order formation.Order) {
	d.executed = append(d.executed, order)
	former := ledger.FormerGroup{Group: order.Group, Epoch: order.Epoch, Head: order.To}
	if d.cutOff[order.To.ID] {
		d.in.Health.Doubtful[formation.FormerKey(former)] = d.in.Health.Doubtful[formation.FormerKey(former)] || order.Operation == formation.Leave
		return
	}
	e := d.endpoints[order.To.ID]
	if e == nil || e.Incarnation != order.To.Incarnation {
		return
	}
	switch order.Operation {
	case formation.Join:
		d.expectHeadNotServing(e, order)
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
	case formation.Leave, formation.Vacate:
		if e.Group.In(order.Group, order.Epoch) {
			e.Group = registry.Membership{}
		}
		if order.Operation == formation.Leave {
			d.in.Health.Released[formation.FormerKey(former)] = true
			d.in.Health.Ended[formation.GroupKey(order.Group, order.Epoch)] = true
		} else {
			d.in.Health.Vacated[formation.VacancyKey(order.To, order.Group, order.Epoch)] = true
		}
	case formation.Drain:
		d.in.Health.DrainingSince[formation.FormerKey(former)] = d.in.Now.UnixMilli()
		e.Group.State = registry.Closing
	case formation.Stage:
		e.Staged = []string{order.Model}
	}
}

func (d *deployment) expectHeadNotServing(e *registry.Endpoint, order formation.Order) {
	if e.Group.Group == "" || e.Group.In(order.Group, order.Epoch) {
		return
	}
	for _, head := range d.endpoints {
		if head.Group.Rank == 0 && head.Group.In(e.Group.Group, e.Group.Epoch) {
			Expect(head.Group.CanServe()).To(BeFalse(), "%s joins %s while the head of its group serves", e.ID, order.Group)
		}
	}
}

// serving returns the models of the groups whose head is open.
func (d *deployment) serving() []string {
	var models []string
	for _, record := range d.in.Groups.Groups {
		head := d.endpoints[record.Head().ID]
		if record.Dissolving || head == nil || head.Group.State != registry.Open || !head.Group.In(record.Group, record.Epoch) {
			continue
		}
		models = append(models, record.Model)
	}
	return models
}

// restoreStore makes the store come back from a copy that lacks the records of some groups.
func (d *deployment) restoreStore(forgotten ...string) {
	next := *d.in.Groups
	next.Groups = maps.Clone(next.Groups)
	next.Era++
	next.End = 0
	next.Forgotten = map[string]bool{}
	for _, name := range forgotten {
		next.Forgotten[name] = true
	}
	d.in.Groups = &next
	d.in.EraAge = 0
}

func (d *deployment) recordOf(model string) *ledger.Record {
	for _, record := range d.in.Groups.Groups {
		if record.Model == model && !record.Dissolving {
			return record
		}
	}
	return nil
}
