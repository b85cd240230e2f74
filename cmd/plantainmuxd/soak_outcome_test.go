package main

import "time"

// ending tells how a request of the soak ended.
type ending string

const (
	answered ending = "answered"
	crossed  ending = "closed before it arrived" // no fault of a daemon
	unread   ending = "closed over it, unread"
	left     ending = "read, and left without an answer"
	silent   ending = "no answer in time"
	broken   ending = "its answer ended early, and says so"
	wrong    ending = "answered wrongly"
)

// soakOutcome is what a caller of the soak got for one request.
type soakOutcome struct {
	id, kind    string
	path        string
	daemon      *daemonProcess
	dialled     time.Time
	sent, ended time.Time
	pause       time.Duration // before the body
	status      int           // 0: no answer
	ending      ending
	err         error
}
