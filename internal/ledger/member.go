package ledger

// Member is an endpoint that a record grants to a group.
type Member struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Born    int64  `cbor:"3,keyasint"` // start time of the granted incarnation, Unix milliseconds
}
