package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Input holds everything that a plan depends on.
type Input struct {
	DataCentre fleet.DataCentre
	Fold       *Fold
	World      World
	History    *History
	Config     config.Configuration
	Now        time.Time
	Bounds     Bounds
}
