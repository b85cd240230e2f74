package registry

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
)

// GracePeriods holds how long an endpoint without an entry remains registered after
// a store outage.
type GracePeriods struct {
	Lapsed  time.Duration // for an entry that was missing when the store became reachable again
	Removed time.Duration // for an entry that was removed after that
	// Standstills of this process do not count, as a new entry may wait unread; nil: not known.
	Standstills *awake.Standstills
}
