package apportion

import "time"

const (
	// recentEvacuation is the time for which an evacuation calls for changes at once. It exceeds
	// the 9 s of the evacuation that was measured on the build farm. Later on, the smoothed demand
	// is good enough.
	recentEvacuation = 15 * time.Second
	// maxUtilisationEvacuated replaces maxUtilisation while a data centre is evacuated: the busier
	// model has no capacity to spare for waves and lost groups then either.
	maxUtilisationEvacuated = 1.0
)

// Evacuation states whether data centres with groups of a service are evacuated. It handles the
// loss of a third or more of all groups at a known moment.
type Evacuation struct {
	InForce bool
	Age     time.Duration // of the latest evacuation in force
}

// Recent reports whether changes are made at once by the present demand, because the evacuation has
// just changed the capacity.
func (e Evacuation) Recent() bool { return e.InForce && e.Age <= recentEvacuation }

func (e Evacuation) maxUtilisation() float64 {
	if e.InForce {
		return maxUtilisationEvacuated
	}
	return maxUtilisation
}

// GroupsLeft returns the groups of a model by which it is compared with others: those that are left
// after the loss of one. While a data centre is evacuated, the loss has happened. A lost group is back
// after 5 to 20 s, and takes half of the capacity of a model with two groups.
func (e Evacuation) GroupsLeft(groups float64) float64 {
	if e.InForce || groups <= 0 {
		return groups
	}
	return max(groups-1, leastLeft)
}

// compared returns the models with the evacuation by which their groups count.
func (e Evacuation) compared(models []Model) []Model {
	adjusted := make([]Model, len(models))
	for i, m := range models {
		m.evacuation = e
		adjusted[i] = m
	}
	return adjusted
}
