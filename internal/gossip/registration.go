package gossip

// Registration is how a daemon tells the others its address, in the store.
type Registration struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
}
