package endpoint

// Action is the action that a control order requests from an engine.
type Action string

// Actions of a control order.
const (
	Join    Action = "join"    // join a group and load its model
	Release Action = "release" // leave the group and become idle
)
