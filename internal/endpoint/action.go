package endpoint

// Action is what a control order asks of an engine.
type Action string

// Actions of a control order.
const (
	Join    Action = "join"    // join a group and load its model
	Release Action = "release" // leave the group and become idle
)
