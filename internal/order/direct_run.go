package order

// DirectRun records an order that was run without a claim, because the log was
// unavailable and the service itself rejects a repeated key.
type DirectRun struct {
	Claim   Claim   `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"` // its Claim field is not used
}
