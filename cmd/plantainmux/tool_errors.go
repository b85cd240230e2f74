package main

import "fmt"

// configsDifferError reports that two configurations differ.
type configsDifferError struct{}

// Error implements error.
func (*configsDifferError) Error() string { return "the configurations differ" }

// Reported implements reportedError.
func (*configsDifferError) Reported() {}

// daemonHealthError reports that some daemons are unreachable, not ready or
// refuse the log.
type daemonHealthError struct {
	Count int
}

// Error implements error.
func (e *daemonHealthError) Error() string { return fmt.Sprintf("%d daemons unhealthy", e.Count) }

// Reported implements reportedError.
func (*daemonHealthError) Reported() {}
