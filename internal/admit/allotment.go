package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// Allotment is one daemon's part of the capacity of a model in its data centre.
type Allotment struct {
	Slots int                    // requests of all teams that may run at once
	Teams map[fleet.TeamName]int // requests of each team; never more than Slots
	Spare int                    // part of Slots that nobody demanded; lent to any team
	// Backlog is what each team demands beyond its capacity in the whole data
	// centre, in requests for each one that it may run.
	Backlog map[fleet.TeamName]float64
}

// Limit returns how many requests of a team may run at once.
func (a Allotment) Limit(team fleet.TeamName) int {
	return min(a.Teams[team]+a.Spare, a.Slots)
}

// Allot returns the part of one daemon. Daemons that know the same demands come
// to parts that add up to the capacity.
func Allot(capacity, daemons, self int, demands []Demand, rotation int) Allotment {
	totals := make([]float64, len(demands))
	shares := make([]float64, len(demands))
	for i, demand := range demands {
		totals[i] = float64(demand.total())
		shares[i] = demand.Share
	}
	byTeam := apportion(fill(float64(capacity), shares, totals), rotation)
	allotment := Allotment{
		Teams:   make(map[fleet.TeamName]int, len(demands)),
		Backlog: make(map[fleet.TeamName]float64, len(demands)),
	}
	spare := capacity
	for i, demand := range demands {
		spare -= byTeam[i]
		own := part(byTeam[i], demand, rotation+i)[self]
		allotment.Teams[demand.Team] = own
		allotment.Slots += own
		allotment.Backlog[demand.Team] = (totals[i] - float64(byTeam[i])) / float64(max(byTeam[i], 1))
	}
	allotment.Spare = evenly(spare, daemons, rotation)[self]
	allotment.Slots += allotment.Spare
	return allotment
}

// part divides what a team got between the daemons by their demand.
func part(got int, demand Demand, rotation int) []int {
	parts := make([]float64, len(demand.ByDaemon))
	total := demand.total()
	for i, count := range demand.ByDaemon {
		if total > 0 {
			parts[i] = float64(got) * float64(count) / float64(total)
		}
	}
	return apportion(parts, rotation)
}

func evenly(amount, daemons, rotation int) []int {
	parts := make([]float64, daemons)
	for i := range parts {
		parts[i] = float64(amount) / float64(daemons)
	}
	return apportion(parts, rotation)
}
