package endpoint

import "github.com/plantainmux/plantainmux/internal/fleet"

// ControlOrder instructs an engine to join or leave a group. An engine that checks
// fencing numbers refuses an order with a number below the highest it has seen.
type ControlOrder struct {
	Action  Action              `json:"action"`
	Fencing fleet.FencingNumber `json:"fencing"`
	Group   fleet.Group         `json:"group"`
}
