package evidence

import "github.com/plantainmux/plantainmux/internal/fleet"

// Records are all streams that a report is worked out from.
type Records struct {
	Config   History
	Groups   map[fleet.DataCentre]History
	Orders   []History
	Evidence map[fleet.DataCentre]History
}
