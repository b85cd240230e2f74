package placement

// Reason says why a request was placed or not.
type Reason string

// Reasons of a placement.
const (
	Placed   Reason = "placed"
	NoTarget Reason = "no_target" // nothing serves, or all failed this request
	NoRoom   Reason = "no_room"   // all that serve are full
)
