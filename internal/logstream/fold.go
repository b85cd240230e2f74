package logstream

import "github.com/fxamacker/cbor/v2"

// Fold is a deterministic state machine. The same records in the same order must
// give the same state and the same results on every daemon.
type Fold interface {
	// Apply applies one record. An error rejects the record as void and must leave
	// the state unchanged.
	Apply(at Position, kind Kind, body cbor.RawMessage) error
	// Encode returns the encoded state. Equal states must have equal encodings.
	Encode() ([]byte, error)
	// Decode replaces the state by an encoded one.
	Decode(data []byte) error
}
