package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// Demand is the requests of one team, running and waiting, on each daemon. All
// daemons list the daemons in the same order.
type Demand struct {
	Team     fleet.TeamName
	Share    float64
	ByDaemon []int
}

func (d Demand) total() int {
	total := 0
	for _, count := range d.ByDaemon {
		total += count
	}
	return total
}
