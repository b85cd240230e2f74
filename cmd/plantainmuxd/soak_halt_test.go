package main

import "time"

// soakHalt is the time in which a daemon stood still, in which it can take nothing back.
type soakHalt struct {
	began, ended time.Time
}
