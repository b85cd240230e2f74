package formation

// Operation is the action that an order requests from an endpoint.
type Operation string

// Operations.
const (
	Join  Operation = "join"   // become a member of a group
	Open  Operation = "open"   // as the head, start to accept requests
	Drain Operation = "finish" // as the head, complete running requests and accept no others
	Leave Operation = "leave"  // as the head, leave the group immediately, which releases its members
	// Vacate is to leave a group immediately as a member of a head that cannot be told to.
	Vacate Operation = "vacate"
	Stage  Operation = "stage" // copy a model to the host without loading it
)
