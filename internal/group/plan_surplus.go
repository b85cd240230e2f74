package group

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/config"
)

// planSurplus ends the groups that are no longer needed.
func (p *planner) planSurplus() {
	p.releaseUnwanted()
	for i := range p.in.Config.Models {
		p.releaseSurplus(&p.in.Config.Models[i])
	}
}

// releaseUnwanted ends the groups of models that are not configured for this
// data centre.
func (p *planner) releaseUnwanted() {
	for _, g := range p.groups {
		if !g.ended && g.state != draining && (g.model == nil || g.model.ReplicasIn(p.in.DataCentre) == 0) {
			p.end(g, NotWanted)
		}
	}
}

// releaseSurplus keeps the configured number of serving groups of a model, by
// preference, and ends the rest. Loading and suspended groups are kept only
// while they may still be needed.
func (p *planner) releaseSurplus(model *config.Model) {
	wanted := model.ReplicasIn(p.in.DataCentre)
	best := p.servingBestFirst(model)
	for i, g := range best {
		if i >= wanted {
			p.end(g, p.surplusReason(g))
		}
	}
	good := p.count(model, func(g *candidateGroup) bool { return g.state == serving && !g.replaceable() })
	successors := p.count(model, func(g *candidateGroup) bool { return g.state == loading && !g.outdated })
	p.releaseLoading(model, good+successors-wanted)
	if len(best) >= wanted {
		p.releaseSuspended(model)
	}
}

func (p *planner) servingBestFirst(model *config.Model) []*candidateGroup {
	var found []*candidateGroup
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.state == serving {
			found = append(found, g)
		}
	}
	slices.SortStableFunc(found, func(a, b *candidateGroup) int {
		return cmp.Or(compareBool(a.outdated, b.outdated), compareBool(a.flapping, b.flapping), cmp.Compare(a.Fencing, b.Fencing))
	})
	return found
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (p *planner) surplusReason(g *candidateGroup) ReleaseReason {
	if g.outdated {
		return Outdated
	}
	return NotWanted
}

// releaseLoading releases the newest surplus groups that are loading, and all
// outdated ones.
func (p *planner) releaseLoading(model *config.Model, surplus int) {
	for _, g := range slices.Backward(p.groups) {
		if g.model != model || g.ended || g.state != loading {
			continue
		}
		if g.outdated {
			p.release(g, Outdated)
			continue
		}
		if surplus > 0 {
			p.release(g, NotWanted)
			surplus--
		}
	}
}

// releaseSuspended releases the suspended groups of a model, except those that
// were suspended only briefly.
func (p *planner) releaseSuspended(model *config.Model) {
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.state == suspended && g.reportAge > p.in.Bounds.ReportBound {
			p.release(g, MemberLost)
		}
	}
}
