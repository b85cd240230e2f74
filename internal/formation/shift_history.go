package formation

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/apportion"
)

// ShiftHistory states when groups last changed their model, and which change pays off since when.
type ShiftHistory struct {
	LastChange time.Time                // in the fleet, or when this daemon first read the ledger
	Paying     map[string]PayingService // by service; the change paid off at every planning round since
	Evacuated  []string                 // data centres that were evacuated in these rounds
}

// PayingService is the direction in which a change of a service pays off.
type PayingService struct {
	From, To string // models
	Since    time.Time
}

// pace returns how long ago the last change was and for how long a change has paid off.
func (h ShiftHistory) pace(service string, change apportion.Change, now time.Time) apportion.Pace {
	pace := apportion.Pace{SinceChange: now.Sub(h.LastChange)}
	if paying := h.Paying[service]; paying.From == change.From && paying.To == change.To {
		pace.Paying = now.Sub(paying.Since)
	}
	return pace
}
