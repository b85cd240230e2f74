package ledger

// Former is an earlier group whose head may still be serving and must release it
// before the members of a new group may join.
type Former struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Head  Member `cbor:"3,keyasint"`
	// Finish says that the head was healthy, so it may complete its requests first.
	Finish bool `cbor:"4,keyasint"`
}
