package formation

// Operation is what an order tells an endpoint to do.
type Operation string

// Operations of endpoints.
const (
	Join   Operation = "join"   // become a member of a group
	Open   Operation = "open"   // the head begins to take requests
	Finish Operation = "finish" // the head ends its requests and takes no others
	Leave  Operation = "leave"  // leave a group at once
	Stage  Operation = "stage"  // put a model on the host
)
