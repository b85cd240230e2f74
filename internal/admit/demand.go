package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// Demand is the number of running and waiting requests of one team on each daemon.
// ByDaemon has the same order of daemons on all daemons.
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
