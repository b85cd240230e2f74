package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Observation is the latest that is known of a member.
type Observation struct {
	Report fleet.MemberReport
	At     time.Time // when the poll that brought the report began
	Failed bool      // the member has failed a poll or a request since
}

// Fresh reports whether the observation still proves anything at now.
func (o Observation) Fresh(now time.Time, bound time.Duration) bool {
	return !o.Failed && now.Sub(o.At) <= bound
}
