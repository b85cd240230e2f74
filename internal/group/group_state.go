package group

// groupState is the planner's assessment of a group.
type groupState string

const (
	serving   groupState = "serving"
	loading   groupState = "loading"
	suspended groupState = "suspended" // ready but not complete; its members may recover
	draining  groupState = "going"     // draining, or a member's VM is leaving: finishes its requests, gets no new ones
	dead      groupState = "dead"      // can never be complete again
)
