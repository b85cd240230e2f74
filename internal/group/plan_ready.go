package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// planReadies proposes a ready record for each loading group whose members have
// all loaded.
func (p *planner) planReadies() {
	for _, g := range p.groups {
		if g.state != loading || g.ended {
			continue
		}
		if boots, ok := p.loadedBoots(g.Record); ok {
			p.plan.Readies = append(p.plan.Readies, Ready{Group: g.Fencing, Boots: boots})
		}
	}
}

// loadedBoots returns the boot IDs of the members if all of them have loaded.
func (p *planner) loadedBoots(record *Record) (map[fleet.VMID]fleet.BootID, bool) {
	boots := make(map[fleet.VMID]fleet.BootID, len(record.Members))
	for _, vm := range record.Members {
		observation := p.in.World.Observations[vm]
		report := observation.Report
		if !observation.Fresh(p.in.Now, p.in.Bounds.ReportBound) || report.Group != record.Fencing || report.State != fleet.EngineReady {
			return nil, false
		}
		boots[vm] = report.Boot
	}
	return boots, true
}
