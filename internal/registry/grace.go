package registry

import "time"

// Grace is how long an endpoint without an entry remains registered after a store
// outage.
type Grace struct {
	Lapsed  time.Duration // for an entry that was missing when the store became reachable again
	Removed time.Duration // for an entry that was removed after that
}
