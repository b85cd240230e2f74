package logstream

import "github.com/fxamacker/cbor/v2"

// Fold is a state that records change. It must be deterministic: equal records
// in equal order give equal states and verdicts on every daemon.
type Fold interface {
	// Apply folds one record. An error is the verdict that the record is void;
	// the state is then unchanged.
	Apply(at Position, kind Kind, body cbor.RawMessage) error
	// Encode returns the whole state, equal for equal states.
	Encode() ([]byte, error)
	// Decode replaces the state.
	Decode(data []byte) error
}
