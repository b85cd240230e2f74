package outbound

// Blame says what kept an exchange from being sent.
type Blame int

// What kept an exchange from being sent.
const (
	BlameEndpoint Blame = iota // no connection to the endpoint was made
	BlameHold                  // the endpoint wants no request of the daemon that would send it
	BlamePath                  // the daemon, or the way to the one that would send it
)

// String returns the name as used in logs and metrics.
func (b Blame) String() string {
	return [...]string{"endpoint", "hold", "path"}[b]
}
