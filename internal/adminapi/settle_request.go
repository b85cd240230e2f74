package adminapi

import "github.com/plantainmux/plantainmux/internal/fleet"

// SettleRequest is an operator's verdict on an unclear order: it ran or did not.
type SettleRequest struct {
	Team     fleet.TeamName `json:"team"`
	Service  string         `json:"service"`
	Key      string         `json:"key"`
	Ran      bool           `json:"ran"`
	Operator string         `json:"operator"`
}
