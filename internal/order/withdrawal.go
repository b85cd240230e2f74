package order

// Withdrawal settles a claim as not run whose verdict its writer did not read. The
// claim either precedes the withdrawal in the stream or is rejected if it is
// appended later.
type Withdrawal struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}
