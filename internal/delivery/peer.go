package delivery

// Peer is the kind of process at the other end of a connection.
type Peer string

// Kinds of processes.
const (
	Endpoints Peer = "endpoints"
	Daemons   Peer = "daemons"
	Store     Peer = "store"
)
