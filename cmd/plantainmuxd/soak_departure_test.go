package main

import "time"

// soakDeparture is the time from which an endpoint was known to leave until it was started again.
type soakDeparture struct {
	at, over time.Time
}
