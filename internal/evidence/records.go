package evidence

import "github.com/plantainmux/plantainmux/internal/fleet"

// Records contains the streams that a report is computed from.
type Records struct {
	Config   History
	Groups   map[fleet.DataCentre]History
	Orders   []History
	Evidence map[fleet.DataCentre]History
}
