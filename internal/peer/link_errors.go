package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// HandshakeError says that a handshake broke off.
type HandshakeError struct {
	Step string
	Err  error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

// UnprovedError says that the other side does not hold the secret, or speaks
// another version of the protocol.
type UnprovedError struct {
	Version int
}

// Error implements error.
func (e *UnprovedError) Error() string {
	return fmt.Sprintf("peer of protocol version %d did not prove that it holds the secret", e.Version)
}

// WrongDataCentreError says that a daemon is in another data centre than the
// settings say.
type WrongDataCentreError struct {
	Address string
	Want    fleet.DataCentre
	Got     fleet.DataCentre
}

// Error implements error.
func (e *WrongDataCentreError) Error() string {
	return fmt.Sprintf("daemon at %s is in data centre %q, settings say %q", e.Address, e.Got, e.Want)
}

// ProtocolError says that a peer broke the rules of the protocol.
type ProtocolError struct {
	Rule string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Rule }

// DialError says that an address could not be dialled.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
