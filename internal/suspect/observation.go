package suspect

import "time"

// observation is a crash in the record of a trait.
type observation struct {
	at      time.Time
	alone   bool // the request ran isolated
	cleared bool // a request with the trait was answered since, or the group goes on
}
