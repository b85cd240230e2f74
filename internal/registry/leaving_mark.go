package registry

import "time"

// leavingMark records that an incarnation of an endpoint announced that it is leaving.
type leavingMark struct {
	incarnation int64
	at          time.Time
}
