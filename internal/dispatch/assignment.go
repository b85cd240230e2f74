package dispatch

import "time"

// assignment is a request that was assigned to a target.
type assignment struct {
	daemon       string
	target       string // key
	promptTokens int
	reported     bool // what the daemons report contains it, or should by its age
	at           time.Time
}
