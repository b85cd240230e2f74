package placement

// Reason is the result of a placement.
type Reason string

// Reasons of a placement.
const (
	Placed   Reason = "placed"
	NoTarget Reason = "no_target" // no target serves, or all failed this request
	NoRoom   Reason = "no_room"   // all serving targets are full
)
