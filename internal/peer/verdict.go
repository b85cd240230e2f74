package peer

// verdict is the acceptor's last message of a handshake.
type verdict uint8

// Verdicts of the acceptor.
const (
	verdictAccepted  verdict = 1
	verdictDuplicate verdict = 2 // a preferred link to the dialer exists
	verdictSelf      verdict = 3 // dialer and acceptor are the same daemon
)
