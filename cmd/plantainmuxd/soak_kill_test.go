package main

import "time"

// soakKill is the time in which a daemon was killed.
type soakKill struct {
	began, ended time.Time
}
