package ledger

// Former is a group whose head must have let go before the members of a new
// group join: it may still serve.
type Former struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Head  Member `cbor:"3,keyasint"`
	// Finish says that the head was sound, so that its requests may end first.
	Finish bool `cbor:"4,keyasint"`
}
