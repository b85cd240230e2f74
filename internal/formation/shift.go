package formation

import "github.com/plantainmux/plantainmux/internal/apportion"

// Shift is a change of groups of a service from one model to another, with what it was decided by.
type Shift struct {
	apportion.Change
	Service                  string
	FromDemand, ToDemand     float64 // requests per second, smoothed unless the evacuation is recent
	FromCapacity, ToCapacity float64 // requests per second that a group completes
	Evacuation               apportion.Evacuation
}
