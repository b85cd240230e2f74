package peer

// ProtocolError reports that a peer violated a rule of the protocol.
type ProtocolError struct {
	Rule string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Rule }
