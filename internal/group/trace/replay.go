package trace

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	step   = time.Second
	warmUp = 30 * time.Minute // maximum time for the first groups to form
)

// epoch is the start time of every replay.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// bounds are the bounds of a daemon with default settings.
var bounds = group.Bounds{
	ReportBound: 2 * time.Second,
	LostAfter:   6 * time.Second,
	LoadLimit:   5 * time.Minute,
	OrderLife:   10 * time.Second,
	DrainSettle: 3 * time.Second,
	DrainLimit:  15 * time.Minute,
}

// replay is one run of a policy over a trace.
type replay struct {
	trace          Trace
	policy         Policy
	config         config.Configuration
	vms            map[fleet.VMID]*simulatedVM
	observations   map[fleet.VMID]group.Observation
	history        *group.History
	fold           *group.Fold
	next           infra.Offset
	now            time.Time
	logUnavailable bool
}

// Run returns the cost of a policy on a trace. Of weights, LoadingVMs is replaced
// by that of the trace.
func Run(t Trace, weights config.Policy, policy Policy) Cost {
	weights.LoadingVMs = t.LoadingVMs
	r := &replay{
		trace:        t,
		policy:       group.MakePlan, // so that every policy starts from the same groups
		config:       config.Configuration{Models: t.Models, Policy: weights},
		vms:          map[fleet.VMID]*simulatedVM{},
		observations: map[fleet.VMID]group.Observation{},
		history:      group.NewHistory(),
		fold:         group.NewFold(),
		next:         infra.FirstOffset,
		now:          epoch,
	}
	for _, vm := range t.VMs {
		r.vms[vm.ID] = &simulatedVM{vm: vm}
	}
	for at := time.Duration(0); at < warmUp && !r.settled(); at += step {
		r.step()
	}
	r.policy = policy
	return r.measure()
}

// settled reports whether all configured groups serve.
func (r *replay) settled() bool {
	complete, _ := r.complete(r.input().World)
	for _, model := range r.trace.Models {
		if complete[model.Name] < model.ReplicasIn(DataCentre) {
			return false
		}
	}
	return true
}

func (r *replay) measure() Cost {
	var cost Cost
	events := r.trace.Events
	for at := time.Duration(0); at < r.trace.Length; at += step {
		for len(events) > 0 && events[0].At <= at {
			r.vms[events[0].VM].applyEvent(events[0].Kind)
			events = events[1:]
		}
		r.logUnavailable = r.trace.LogOutage.contains(at)
		r.count(r.step(), &cost)
	}
	return cost
}

// step simulates one step and returns the world that its plan was based on.
func (r *replay) step() group.World {
	r.now = r.now.Add(step)
	r.load()
	r.observe()
	in := r.input()
	r.history.Update(in)
	if !r.logUnavailable {
		r.apply(r.policy(in))
	}
	r.sendOrders()
	return in.World
}

func (r *replay) input() group.Input {
	vms := make(map[fleet.VMID]fleet.VM, len(r.vms))
	for id, m := range r.vms {
		vms[id] = m.vm
	}
	return group.Input{
		DataCentre: DataCentre,
		Fold:       r.fold,
		World:      group.World{VMs: vms, Observations: r.observations},
		History:    r.history,
		Config:     r.config,
		Now:        r.now,
		Bounds:     bounds,
	}
}

// load advances all loads. They share the bandwidth of the weight store.
func (r *replay) load() {
	count := 0
	for _, m := range r.vms {
		if m.loading && m.healthy() {
			count++
		}
	}
	speed := min(1, float64(r.trace.LoadingVMs)/float64(max(1, count)))
	for _, m := range r.vms {
		if !m.loading || !m.healthy() {
			continue
		}
		m.loadRemaining -= time.Duration(speed * float64(step))
		m.loading = m.loadRemaining > 0
	}
}

func (r *replay) observe() {
	for id, m := range r.vms {
		if m.healthy() {
			r.observations[id] = group.Observation{Report: m.report(), Address: m.vm.Address, At: r.now}
		}
	}
}

func (r *replay) apply(plan group.Plan) {
	for _, release := range plan.Releases {
		r.append(group.KindRelease, release)
	}
	for _, drain := range plan.Drains {
		r.append(group.KindDrain, drain)
	}
	for _, ready := range plan.Readies {
		r.append(group.KindReady, ready)
	}
	for _, form := range plan.Forms {
		r.append(group.KindForm, form)
	}
}

// append applies a record to the fold. A rejected record changes nothing, as with
// the log.
func (r *replay) append(kind logstream.Kind, body any) {
	data, err := logstream.Marshal(body)
	if err != nil {
		return
	}
	_ = r.fold.Apply(logstream.Position{Offset: r.next, Time: r.now}, kind, data)
	r.next++
}

func (r *replay) sendOrders() {
	for id, m := range r.vms {
		if !m.healthy() {
			continue
		}
		target, ok := group.Target(r.fold, r.observations[id])
		if !ok {
			continue
		}
		m.carryOut(target, r.loadTime(target.Group.Model))
	}
}

func (r *replay) loadTime(name fleet.ModelName) time.Duration {
	for _, model := range r.trace.Models {
		if model.Name == name {
			return time.Duration(model.LoadSeconds) * time.Second
		}
	}
	return 0
}
