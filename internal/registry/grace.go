package registry

import "time"

// Grace is for how long an endpoint without an entry is kept after an outage of
// the store.
type Grace struct {
	Lapsed  time.Duration // whose entry was missing when the store was back
	Removed time.Duration // whose entry was removed afterwards
}
