package registry

import "time"

// departure is the removal of an endpoint.
type departure struct {
	last *Endpoint // its latest entry
	at   time.Time // when the removal was read
}
