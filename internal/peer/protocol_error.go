package peer

// ProtocolError says that a peer broke the rules of the protocol.
type ProtocolError struct {
	Rule string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Rule }
