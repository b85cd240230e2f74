package delivery

// Peer is the kind of process at the other end of a connection.
type Peer string

// Kinds of processes.
const (
	Endpoints Peer = "endpoints" // for requests
	Workers   Peer = "workers"   // endpoints, for orders and reports
	Daemons   Peer = "daemons"
	Store     Peer = "store"
)
