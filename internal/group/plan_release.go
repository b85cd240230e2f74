package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// planReleases releases dead groups, and draining groups that have finished
// their requests.
func (p *planner) planReleases() {
	for _, g := range p.groups {
		switch {
		case g.state == dead:
			p.release(g, p.deadReason(g))
		case g.state == draining && p.idle(g):
			p.release(g, p.drainingReason(g))
		}
	}
}

func (p *planner) deadReason(g *candidateGroup) ReleaseReason {
	if anyLeaving(g.Record, p.in.World) {
		return MemberLeaving
	}
	if !g.IsReady() && p.loadTimedOut(g) {
		return NeverReady
	}
	return MemberLost
}

func (p *planner) drainingReason(g *candidateGroup) ReleaseReason {
	if anyLeaving(g.Record, p.in.World) {
		return MemberLeaving
	}
	if g.outdated {
		return Outdated
	}
	return NotWanted
}

// idle reports whether a draining group has finished its requests. Load reports
// lag, so they are not used before DrainSettle has passed.
func (p *planner) idle(g *candidateGroup) bool {
	passed := since(p.in.History.drainingSince, g.Fencing, p.in.Now)
	if passed >= p.in.Bounds.DrainLimit {
		return true
	}
	if passed < p.in.Bounds.DrainSettle {
		return false
	}
	if g.reportAge > p.in.Bounds.LostAfter {
		return true
	}
	return p.noLoad(g.Leader())
}

func (p *planner) noLoad(leader fleet.VMID) bool {
	observation := p.in.World.Observations[leader]
	report := observation.Report
	return observation.Fresh(p.in.Now, p.in.Bounds.ReportBound) && report.Running == 0 && report.Waiting == 0
}
