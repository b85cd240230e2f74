package order

// Claim is the record by which a daemon requests the exclusive right to run the
// order of a key.
type Claim struct {
	Key            Key         `cbor:"1,keyasint"`
	Fingerprint    Fingerprint `cbor:"2,keyasint"`
	Method         string      `cbor:"3,keyasint"`
	Path           string      `cbor:"4,keyasint"`
	DeadlineMillis int64       `cbor:"5,keyasint"` // claimant's clock, Unix milliseconds; the order is not dispatched after it
	LifetimeMillis int64       `cbor:"6,keyasint"` // retention of the key, in milliseconds
	Attempt        uint64      `cbor:"7,keyasint"` // unique among the claims of a writer
}
