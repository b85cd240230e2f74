package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Observation is the latest report of a VM and whether it has failed since.
type Observation struct {
	Report  fleet.MemberReport
	Address string    // address at which the VM gave the report
	At      time.Time // start of the poll that returned the report
	Failed  bool      // a poll or a request to the VM has failed since
}

// Fresh reports whether the observation is usable at now: not failed and no older
// than bound. One more than bound in the future is not fresh either, since it
// comes from a clock that differs.
func (o Observation) Fresh(now time.Time, bound time.Duration) bool {
	age := now.Sub(o.At)
	return !o.Failed && age <= bound && age >= -bound
}
