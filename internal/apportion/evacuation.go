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
