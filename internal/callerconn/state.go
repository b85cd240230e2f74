package callerconn

// state is what a connection is doing.
type state int

const (
	unused  state = iota // no request has been read from it yet
	idle                 // between two requests
	busy                 // a request is in progress
	refused              // the request in progress is refused, since too many others are
	closed
)
