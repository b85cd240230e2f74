package group

import "time"

// TimeLimits holds the time limits of the planner.
type TimeLimits struct {
	ReportBound       time.Duration // maximum age of a fresh report
	MemberLostTimeout time.Duration // time without a report after which a member counts as lost
	BaseLoadTimeout   time.Duration // maximum time from form to ready, in addition to the load times of the model
	OrderTimeout      time.Duration // longest time that a sent control order can take effect
	MinDrainTime      time.Duration // minimum drain time before a report of no load is trusted, since reports lag
	MaxDrainTime      time.Duration // maximum drain time; no request has a longer deadline
}
