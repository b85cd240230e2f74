package group

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/config"
)

// planSurplus ends the groups that nothing waits for any more.
func (p *planner) planSurplus() {
	p.endUnwanted()
	for i := range p.in.Config.Models {
		p.endSurplus(&p.in.Config.Models[i])
	}
}

func (p *planner) endUnwanted() {
	for _, g := range p.groups {
		if !g.ended && g.standing != going && (g.model == nil || g.model.ReplicasIn(p.in.DataCentre) == 0) {
			p.end(g, NotWanted)
		}
	}
}

// endSurplus keeps the wanted number of serving groups, the best ones. Others
// are kept only as long as they may yet be needed.
func (p *planner) endSurplus(model *config.Model) {
	wanted := model.ReplicasIn(p.in.DataCentre)
	best := p.servingBestFirst(model)
	for i, g := range best {
		if i >= wanted {
			p.end(g, p.reasonOfSurplus(g))
		}
	}
	good := p.count(model, func(g *candidateGroup) bool { return g.standing == serving && !g.replaceable() })
	successors := p.count(model, func(g *candidateGroup) bool { return g.standing == loading && !g.outdated })
	p.endLoading(model, good+successors-wanted)
	if len(best) >= wanted {
		p.endSuspended(model)
	}
}

func (p *planner) servingBestFirst(model *config.Model) []*candidateGroup {
	var found []*candidateGroup
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.standing == serving {
			found = append(found, g)
		}
	}
	slices.SortStableFunc(found, func(a, b *candidateGroup) int {
		return cmp.Or(compareBool(a.outdated, b.outdated), compareBool(a.unsteady, b.unsteady), cmp.Compare(a.Fencing, b.Fencing))
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

func (p *planner) reasonOfSurplus(g *candidateGroup) ReleaseReason {
	if g.outdated {
		return Outdated
	}
	return NotWanted
}

// endLoading releases the youngest surplus groups that load, and all of an old
// version.
func (p *planner) endLoading(model *config.Model, surplus int) {
	for _, g := range slices.Backward(p.groups) {
		if g.model != model || g.ended || g.standing != loading {
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

func (p *planner) endSuspended(model *config.Model) {
	for _, g := range p.groups {
		if g.model == model && !g.ended && g.standing == suspended && g.silence > p.in.Bounds.ReportBound {
			p.release(g, MemberLost)
		}
	}
}
