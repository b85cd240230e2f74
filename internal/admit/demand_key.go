package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// demandKey identifies the demand of one team for one model.
type demandKey struct {
	model fleet.ModelName
	team  fleet.TeamName
}
