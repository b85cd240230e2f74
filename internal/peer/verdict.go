package peer

// verdict ends a handshake.
type verdict uint8

// Verdicts of the acceptor.
const (
	verdictAccepted  verdict = 1
	verdictDuplicate verdict = 2 // a better link to the dialer exists
	verdictSelf      verdict = 3 // dialer and acceptor are the same daemon
)
