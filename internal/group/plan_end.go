package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// planEnds releases what can't serve any more and what has finished its
// requests.
func (p *planner) planEnds() {
	for _, g := range p.groups {
		switch {
		case g.standing == dead:
			p.release(g, p.reasonOfDeath(g))
		case g.standing == going && p.idle(g):
			p.release(g, p.reasonOfGoing(g))
		}
	}
}

func (p *planner) reasonOfDeath(g *candidateGroup) ReleaseReason {
	if anyLeaving(g.Record, p.in.World) {
		return MemberLeaving
	}
	if !g.IsReady() && p.neverReady(g) {
		return NeverReady
	}
	return MemberLost
}

func (p *planner) reasonOfGoing(g *candidateGroup) ReleaseReason {
	if anyLeaving(g.Record, p.in.World) {
		return MemberLeaving
	}
	if g.outdated {
		return Outdated
	}
	return NotWanted
}

// idle reports whether a group that gets no new work has finished what it had.
// Load reports lag, so none is believed before DrainSettle.
func (p *planner) idle(g *candidateGroup) bool {
	passed := since(p.in.History.idling, g.Fencing, p.in.Now)
	if passed >= p.in.Bounds.DrainLimit {
		return true
	}
	if passed < p.in.Bounds.DrainSettle {
		return false
	}
	if g.silence > p.in.Bounds.LostAfter {
		return true
	}
	return p.noLoad(g.Leader())
}

func (p *planner) noLoad(leader fleet.VMID) bool {
	observation := p.in.World.Observations[leader]
	report := observation.Report
	return observation.Fresh(p.in.Now, p.in.Bounds.ReportBound) && report.Running == 0 && report.Waiting == 0
}
