package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const loadTimeoutFactor = 3 // load times of the model that a group gets in addition to LoadLimit

// classify derives the state of every group of the fold.
func (p *planner) classify() {
	for _, record := range p.in.Fold.groups {
		g := &candidateGroup{Record: record, model: p.models[record.Model]}
		g.reportAge = p.maxReportAge(record)
		g.outdated = g.model == nil || !matches(record, g.model)
		g.flapping = slices.ContainsFunc(record.Members, p.flapping)
		g.state = p.stateOf(g)
		p.groups = append(p.groups, g)
	}
	slices.SortFunc(p.groups, func(a, b *candidateGroup) int { return cmp.Compare(a.Fencing, b.Fencing) })
}

// matches reports whether a group has the configured version, size and adapters.
func matches(record *Record, model *config.Model) bool {
	return record.Version == model.Version &&
		len(record.Members) == model.Members &&
		slices.Equal(slices.Sorted(slices.Values(record.Adapters)), slices.Sorted(slices.Values(model.Adapters)))
}

func (p *planner) stateOf(g *candidateGroup) groupState {
	switch {
	case p.isDead(g):
		return dead
	case g.Draining || anyLeaving(g.Record, p.in.World):
		return draining
	case !g.IsReady():
		return loading
	case Check(g.Record, p.in.World, p.in.Now, p.in.Bounds.ReportBound) == Complete:
		return serving
	default:
		return suspended
	}
}

// isDead reports whether a group can never serve again. Missing reports of a
// member of a ready group do not prove that: it may resume without a restart.
func (p *planner) isDead(g *candidateGroup) bool {
	if g.IsReady() {
		return slices.ContainsFunc(g.Members, func(vm fleet.VMID) bool { return p.leftGroup(g.Record, vm) }) ||
			g.Draining && g.reportAge > p.in.Bounds.LostAfter
	}
	return g.reportAge > p.in.Bounds.LostAfter || p.loadTimedOut(g) || anyLeaving(g.Record, p.in.World)
}

func (p *planner) loadTimedOut(g *candidateGroup) bool {
	limit := p.in.Bounds.LoadLimit
	if g.model != nil {
		limit += loadTimeoutFactor * loadTime(g.model)
	}
	return since(p.in.History.formedAt, g.Fencing, p.in.Now) > limit
}

// leftGroup reports whether a member rebooted or belongs to another group. Only a
// report polled after this daemon saw the ready record proves that.
func (p *planner) leftGroup(record *Record, vm fleet.VMID) bool {
	observation, ok := p.in.World.Observations[vm]
	readyAt, seen := p.in.History.readyAt[record.Fencing]
	if !ok || !seen || !observation.At.After(readyAt) {
		return false
	}
	report := observation.Report
	return report.Boot != record.Boots[vm] || report.Group != record.Fencing
}

// maxReportAge returns the age of the oldest report of a group's members. For a
// member without a report it counts from when the group was first seen.
func (p *planner) maxReportAge(record *Record) time.Duration {
	longest := time.Duration(0)
	for _, vm := range record.Members {
		age := since(p.in.History.formedAt, record.Fencing, p.in.Now)
		if observation, ok := p.in.World.Observations[vm]; ok {
			age = p.in.Now.Sub(observation.At)
		}
		longest = max(longest, age)
	}
	return longest
}

func (p *planner) flapping(vm fleet.VMID) bool {
	o := p.in.History.outages[vm]
	return o != nil && o.flapping()
}

func loadTime(model *config.Model) time.Duration {
	return time.Duration(model.LoadSeconds) * time.Second
}
