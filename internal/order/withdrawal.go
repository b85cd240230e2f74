package order

// Withdrawal settles a claim whose verdict its writer never read, as not run.
// Its writer's earlier claim either stands before it in the stream, or has no
// effect any more.
type Withdrawal struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
}
