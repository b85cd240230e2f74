package group

// Condition says why a group does or does not serve.
type Condition string

// Conditions of a group. Only a Complete group gets work.
const (
	Complete     Condition = "complete"
	Draining     Condition = "draining"      // its requests finish, then it is released
	Loading      Condition = "loading"       // not recorded as ready yet
	MemberSilent Condition = "member_silent" // no fresh report
	MemberBooted Condition = "member_booted" // restarted since the group became ready
	MemberMoved  Condition = "member_moved"  // reports another group or is not ready
	MemberGoing  Condition = "member_going"  // its VM is leaving
)

// Conditions lists every condition, for the metrics page.
var Conditions = []Condition{Complete, Draining, Loading, MemberSilent, MemberBooted, MemberMoved, MemberGoing}
