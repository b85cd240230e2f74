package group

import "time"

// Bounds holds the time limits of the planner.
type Bounds struct {
	ReportBound time.Duration // maximum age of a fresh report
	LostAfter   time.Duration // time without a report after which a member counts as lost
	LoadLimit   time.Duration // maximum time from form to ready, in addition to the load times of the model
	OrderLife   time.Duration // longest time that a sent control order can take effect
	DrainSettle time.Duration // minimum drain time before a report of no load is trusted, since reports lag
	DrainLimit  time.Duration // maximum drain time; no request has a longer deadline
}
