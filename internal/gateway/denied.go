package gateway

import "time"

// DenyReason says why a request was not admitted.
type DenyReason string

// Reasons of a denial.
const (
	NoConfiguration DenyReason = "no_configuration" // none is known yet
	NoRoute         DenyReason = "no_route"
	NoKey           DenyReason = "no_key"     // the key is of no team
	LeavingSoon     DenyReason = "stopping"   // this daemon is about to end
	NoService       DenyReason = "no_service" // the route's service is not configured
)

// Denied is why a request was not admitted. It has not run.
type Denied struct {
	Reason     DenyReason
	RetryAfter time.Duration // 0: coming back does not help
}
