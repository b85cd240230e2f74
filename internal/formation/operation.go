package formation

// Operation is the action that an order requests from an endpoint.
type Operation string

// Operations.
const (
	Join   Operation = "join"   // become a member of a group
	Open   Operation = "open"   // as the head, start to accept requests
	Finish Operation = "finish" // as the head, complete running requests and accept no others
	Leave  Operation = "leave"  // leave a group immediately
	Stage  Operation = "stage"  // copy a model to the host without loading it
)
