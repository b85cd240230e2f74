package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// demandKey names one demand.
type demandKey struct {
	model fleet.ModelName
	team  fleet.TeamName
}
