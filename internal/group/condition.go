package group

// Condition is the health of a group: Complete, or why it does not serve.
type Condition string

// Conditions of a group. Only a Complete group gets new requests.
const (
	Complete     Condition = "complete"
	Draining     Condition = "draining"      // running requests finish, then it is released
	Loading      Condition = "loading"       // no ready record yet
	MemberSilent Condition = "member_silent" // a member has no fresh report
	MemberBooted Condition = "member_booted" // a member rebooted since the group became ready
	MemberMoved  Condition = "member_moved"  // a member reports another group or is not ready
	MemberGoing  Condition = "member_going"  // the VM of a member is leaving
)

// Conditions lists all conditions, for metrics.
var Conditions = []Condition{Complete, Draining, Loading, MemberSilent, MemberBooted, MemberMoved, MemberGoing}
