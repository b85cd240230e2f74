package admit

import (
	"github.com/plantainmux/plantainmux/internal/fairshare"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Allotment is one daemon's part of the capacity of a model in its data centre.
type Allotment struct {
	Slots int                    // requests of all teams that may run at once
	Teams map[fleet.TeamName]int // requests of each team that may run at once; at most Slots each
	Spare int                    // part of Slots that no team demanded; available to any team
	// Backlog is the demand of each team beyond its capacity in the whole data centre,
	// divided by that capacity.
	Backlog map[fleet.TeamName]float64
}

// Limit returns how many requests of a team may run at once.
func (a Allotment) Limit(team fleet.TeamName) int {
	return min(a.Teams[team]+a.Spare, a.Slots)
}

// Allot returns the part of the capacity for the daemon with index self. Daemons that
// have the same demands and rotation compute parts that add up to the capacity.
func Allot(capacity, daemons, self int, demands []Demand, rotation int) Allotment {
	totals := make([]float64, len(demands))
	shares := make([]float64, len(demands))
	for i, demand := range demands {
		totals[i] = float64(demand.total())
		shares[i] = demand.Share
	}
	byTeam := apportion(fairshare.MaxMin(float64(capacity), shares, totals), rotation)
	allotment := Allotment{
		Teams:   make(map[fleet.TeamName]int, len(demands)),
		Backlog: make(map[fleet.TeamName]float64, len(demands)),
	}
	spare := capacity
	for i, demand := range demands {
		spare -= byTeam[i]
		own := splitByDemand(byTeam[i], demand, rotation+i)[self]
		allotment.Teams[demand.Team] = own
		allotment.Slots += own
		allotment.Backlog[demand.Team] = (totals[i] - float64(byTeam[i])) / float64(max(byTeam[i], 1))
	}
	allotment.Spare = splitEvenly(spare, daemons, rotation)[self]
	allotment.Slots += allotment.Spare
	return allotment
}

// splitByDemand divides the capacity of a team between the daemons in proportion to their
// demand.
func splitByDemand(granted int, demand Demand, rotation int) []int {
	parts := make([]float64, len(demand.ByDaemon))
	total := demand.total()
	for i, count := range demand.ByDaemon {
		if total > 0 {
			parts[i] = float64(granted) * float64(count) / float64(total)
		}
	}
	return apportion(parts, rotation)
}

// splitEvenly divides an amount equally between the daemons.
func splitEvenly(amount, daemons, rotation int) []int {
	parts := make([]float64, daemons)
	for i := range parts {
		parts[i] = float64(amount) / float64(daemons)
	}
	return apportion(parts, rotation)
}
