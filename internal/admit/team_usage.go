package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// TeamUsage is the demand of one team for one model on one daemon, in requests.
type TeamUsage struct {
	_       struct{} `cbor:",toarray"`
	Team    fleet.TeamName
	Running int
	Waiting int
}
