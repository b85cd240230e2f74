package order

// Claim asks for the right to run a key.
type Claim struct {
	Key            Key         `cbor:"1,keyasint"`
	Fingerprint    Fingerprint `cbor:"2,keyasint"`
	Method         string      `cbor:"3,keyasint"`
	Path           string      `cbor:"4,keyasint"`
	DeadlineMillis int64       `cbor:"5,keyasint"` // claimant's clock, Unix milliseconds; no dispatch after it
	LifetimeMillis int64       `cbor:"6,keyasint"` // how long the key is kept
	Attempt        uint64      `cbor:"7,keyasint"` // unique among the claims of one writer
}
