package order

// DirectRun records an order that was run without a claim, because the log was
// away and the service itself refuses a repeated key.
type DirectRun struct {
	Claim   Claim   `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"` // its Claim offset is not used
}
