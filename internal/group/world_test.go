package group_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const north = fleet.DataCentre("north")

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// world is a planner input that a test modifies. All VMs carry out orders
// immediately.
type world struct {
	group.Input
	next infra.Offset
}

func newWorld(models []config.Model, domains map[fleet.FabricDomain]int) *world {
	w := &world{next: infra.FirstOffset}
	w.Input = group.Input{
		DataCentre: north,
		Fold:       group.NewFold(),
		World:      group.World{VMs: map[fleet.VMID]fleet.VM{}, Observations: map[fleet.VMID]group.Observation{}},
		History:    group.NewHistory(),
		Config:     config.Configuration{Models: models, Policy: config.Policy{DowntimeWeight: 1, StrandedWeight: 0.01}},
		Now:        start,
		Bounds: group.Bounds{
			ReportBound: 2 * time.Second, LostAfter: 6 * time.Second, LoadLimit: 5 * time.Minute,
			OrderLife: 10 * time.Second, DrainSettle: 3 * time.Second, DrainLimit: 15 * time.Minute,
		},
	}
	for domain, count := range domains {
		for i := range count {
			id := fleet.VMID(fmt.Sprintf("%s-%03d", domain, i))
			w.World.VMs[id] = fleet.VM{ID: id, Address: string(id), DataCentre: north, FabricDomain: domain, Accelerators: 8}
			w.report(id, func(*fleet.MemberReport) {})
		}
	}
	return w
}

func model(name fleet.ModelName, members, count int, value float64) config.Model {
	return config.Model{
		Name: name, Version: "v1", Members: members, Requests: 1, Value: value, ChecksFencing: true, LoadSeconds: 60,
		Replicas: []config.Replicas{{DataCentre: north, Count: count}},
	}
}

// report changes the report of a VM, for later reports too.
func (w *world) report(id fleet.VMID, change func(*fleet.MemberReport)) {
	observation, ok := w.World.Observations[id]
	if !ok {
		observation.Report = fleet.MemberReport{VM: id, Boot: "boot-1", State: fleet.EngineIdle}
	}
	change(&observation.Report)
	observation.At = w.Now
	w.World.Observations[id] = observation
}

// advance moves the time forward by d, after which all VMs report except the
// silent ones.
func (w *world) advance(d time.Duration, silent ...fleet.VMID) {
	w.Now = w.Now.Add(d)
	for id := range w.World.Observations {
		if !slices.Contains(silent, id) {
			w.report(id, func(*fleet.MemberReport) {})
		}
	}
	w.History.Update(w.Input)
}

func (w *world) append(kind logstream.Kind, body any) error {
	data, err := logstream.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	w.next++
	return w.Fold.Apply(logstream.Position{Offset: w.next - 1}, kind, data)
}

// apply applies a plan to the fold. VMs carry out the resulting orders
// immediately, and finish loading immediately if load is set.
func (w *world) apply(plan group.Plan, load bool) {
	for _, release := range plan.Releases {
		Expect(w.append(group.KindRelease, release)).To(Succeed())
	}
	for _, drain := range plan.Drains {
		Expect(w.append(group.KindDrain, drain)).To(Succeed())
	}
	for _, form := range plan.Forms {
		Expect(w.append(group.KindForm, form)).To(Succeed())
	}
	for _, ready := range plan.Readies {
		Expect(w.append(group.KindReady, ready)).To(Succeed())
	}
	for id, observation := range w.World.Observations {
		if target, ok := group.Target(w.Fold, observation); ok {
			w.report(id, func(r *fleet.MemberReport) { execute(r, target, load) })
		}
	}
	w.History.Update(w.Input)
}

func execute(r *fleet.MemberReport, target group.ControlTarget, load bool) {
	r.Group, r.State = fleet.NoGroup, fleet.EngineIdle
	if target.Join {
		r.Group, r.State = target.Fencing, fleet.EngineLoading
	}
	if target.Join && load {
		r.State = fleet.EngineReady
	}
}

// settle applies ten plans, one per second, so that all groups form and load.
func (w *world) settle() {
	for range 10 {
		w.advance(time.Second)
		w.apply(group.MakePlan(w.Input), true)
	}
}

// complete returns the number of complete groups by version.
func (w *world) complete() map[string]int {
	complete := map[string]int{}
	for _, record := range w.Fold.Groups() {
		if group.Check(record, w.World, w.Now, w.Bounds.ReportBound) == group.Complete {
			complete[record.Version]++
		}
	}
	return complete
}

// groupOf returns an arbitrary group of a model, or nil.
func (w *world) groupOf(name fleet.ModelName) *group.Record {
	for _, record := range w.Fold.Groups() {
		if record.Model == name {
			return record
		}
	}
	return nil
}
