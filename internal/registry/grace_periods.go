package registry

import "time"

// GracePeriods holds how long an endpoint without an entry remains registered after
// a store outage.
type GracePeriods struct {
	Lapsed  time.Duration // for an entry that was missing when the store became reachable again
	Removed time.Duration // for an entry that was removed after that
}
