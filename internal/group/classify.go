package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

const loadsUntilNeverReady = 3 // usual load times, beyond LoadLimit

func (p *planner) classify() {
	for _, record := range p.in.Fold.groups {
		g := &candidateGroup{Record: record, model: p.models[record.Model]}
		g.silence = p.silence(record)
		g.outdated = g.model == nil || !matches(record, g.model)
		g.unsteady = slices.ContainsFunc(record.Members, p.unsteady)
		g.standing = p.standingOf(g)
		p.groups = append(p.groups, g)
	}
	slices.SortFunc(p.groups, func(a, b *candidateGroup) int { return cmp.Compare(a.Fencing, b.Fencing) })
}

// matches reports whether a group is what the configuration declares now.
func matches(record *Record, model *config.Model) bool {
	return record.Version == model.Version &&
		len(record.Members) == model.Members &&
		slices.Equal(slices.Sorted(slices.Values(record.Adapters)), slices.Sorted(slices.Values(model.Adapters)))
}

func (p *planner) standingOf(g *candidateGroup) standing {
	switch {
	case p.isDead(g):
		return dead
	case g.Draining || anyLeaving(g.Record, p.in.World):
		return going
	case !g.IsReady():
		return loading
	case Check(g.Record, p.in.World, p.in.Now, p.in.Bounds.ReportBound) == Complete:
		return serving
	default:
		return suspended
	}
}

// isDead reports whether a group can't serve again. A silent member of a ready
// group proves nothing: it may come back as it was.
func (p *planner) isDead(g *candidateGroup) bool {
	if g.IsReady() {
		return slices.ContainsFunc(g.Members, func(vm fleet.VMID) bool { return p.leftGroup(g.Record, vm) }) ||
			g.Draining && g.silence > p.in.Bounds.LostAfter
	}
	return g.silence > p.in.Bounds.LostAfter || p.neverReady(g) || anyLeaving(g.Record, p.in.World)
}

func (p *planner) neverReady(g *candidateGroup) bool {
	limit := p.in.Bounds.LoadLimit
	if g.model != nil {
		limit += loadsUntilNeverReady * loadTime(g.model)
	}
	return since(p.in.History.formed, g.Fencing, p.in.Now) > limit
}

// leftGroup reports whether a member restarted or works for another group. Only
// a report that was asked for after the ready record was seen can prove it.
func (p *planner) leftGroup(record *Record, vm fleet.VMID) bool {
	observation, ok := p.in.World.Observations[vm]
	readyAt, seen := p.in.History.ready[record.Fencing]
	if !ok || !seen || !observation.At.After(readyAt) {
		return false
	}
	report := observation.Report
	return report.Boot != record.Boots[vm] || report.Group != record.Fencing
}

// silence returns the age of the oldest report of a group's members. A member
// without any has been silent since the group was first seen.
func (p *planner) silence(record *Record) time.Duration {
	longest := time.Duration(0)
	for _, vm := range record.Members {
		age := since(p.in.History.formed, record.Fencing, p.in.Now)
		if observation, ok := p.in.World.Observations[vm]; ok {
			age = p.in.Now.Sub(observation.At)
		}
		longest = max(longest, age)
	}
	return longest
}

func (p *planner) unsteady(vm fleet.VMID) bool {
	o := p.in.History.outages[vm]
	return o != nil && o.unsteady()
}

func loadTime(model *config.Model) time.Duration {
	return time.Duration(model.LoadSeconds) * time.Second
}
