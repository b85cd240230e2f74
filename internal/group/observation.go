package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Observation is the latest that is known of a member.
type Observation struct {
	Report  fleet.MemberReport
	Address string    // where the member gave the report
	At      time.Time // when the poll that brought the report began
	Failed  bool      // the member has failed a poll or a request since
}

// Fresh reports whether the observation still proves anything at now. One that
// lies further in the future than bound proves nothing either: its clock differs.
func (o Observation) Fresh(now time.Time, bound time.Duration) bool {
	age := now.Sub(o.At)
	return !o.Failed && age <= bound && age >= -bound
}
