package ledger

// FormerGroup is an earlier group whose head may still be serving and must release
// it before the members of a new group may join.
type FormerGroup struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Head  Member `cbor:"3,keyasint"`
	// Drain reports whether the head was healthy, so that it may complete its requests
	// first.
	Drain bool `cbor:"4,keyasint"`
}
