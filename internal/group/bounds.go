package group

import "time"

// Bounds are the times that the planner goes by.
type Bounds struct {
	ReportBound time.Duration // age at which a report proves nothing
	LostAfter   time.Duration // silence after which a member counts as lost
	LoadLimit   time.Duration // longest time from forming to ready
	OrderLife   time.Duration // longest life of a control order under way
}
