package placement

// Reason is the result of a placement.
type Reason string

// Reasons of a placement.
const (
	Placed     Reason = "placed"
	NoTarget   Reason = "no_target" // no target serves, or all failed this request
	NoCapacity Reason = "no_room"   // all serving targets are full
	Evacuated  Reason = "evacuated" // all serving targets are in evacuated data centres
	HeldBack   Reason = "held_back" // no serving target wants a request of this daemon now

	NoAllowedRegion Reason = "no_allowed_region" // targets serve, but none in a region in which the request may be handled
)
