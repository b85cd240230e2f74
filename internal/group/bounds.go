package group

import "time"

// Bounds are the times that the planner goes by.
type Bounds struct {
	ReportBound time.Duration // age at which a report proves nothing
	LostAfter   time.Duration // silence after which a member counts as lost
	LoadLimit   time.Duration // longest time from forming to ready, beyond the usual loads
	OrderLife   time.Duration // longest life of a control order under way
	DrainSettle time.Duration // from the end of new work until a load report of none is believed
	DrainLimit  time.Duration // longest drain; no request has a longer deadline
}
